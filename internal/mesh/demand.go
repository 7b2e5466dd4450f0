package mesh

import (
	"encoding/binary"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
)

const (
	// MaxDemand is the maximum number of pools in a datagram. It keeps the demand far below
	// the smallest common MTU.
	MaxDemand = 8

	demandHeadLen  = 9 // bytes: pool, flags, occupancy, stretch and number of classes
	demandClassLen = 3 // bytes: class and demand
	demandHeavyLen = 6 // bytes: workspace and demand
	// demandUnit is the unit of demand, in work a second, up to 65535 units.
	demandUnit     = 1.0 / 32
	occupancyUnit  = 1.0 / 64
	stretchUnit    = 1.0 / 64
	demandOverload = 1 << 0 // flag: the sender has evidence of overload
	demandLoaded   = 1 << 1 // flag: the sender reports for the load of the pool
)

// appendDemand appends the length of the section in units of cacheReadLen and then the
// reports. It pads the section to that unit: routers of versions that do not know it take
// it for the hashes of engines that are not listed.
func appendDemand(b []byte, reports []admission.Report) []byte {
	start := len(b)
	b = append(b, 0, 0, 0)
	reports = reports[:min(len(reports), MaxDemand)]
	b = append(b, byte(len(reports)))
	for _, r := range reports {
		flags := byte(0)
		if r.Overloaded {
			flags |= demandOverload
		}
		if r.Loaded {
			flags |= demandLoaded
		}
		b = binary.BigEndian.AppendUint32(b, r.Pool)
		b = append(b, flags, byte(units(r.Occupancy, occupancyUnit, 255)))
		b = binary.BigEndian.AppendUint16(b, uint16(units(r.Stretch, stretchUnit, 65535)))
		count := len(b)
		b = append(b, 0)
		for class, demand := range r.Demand {
			if n := units(demand, demandUnit, 65535); n > 0 {
				b = append(b, byte(class))
				b = binary.BigEndian.AppendUint16(b, uint16(n))
				b[count]++
			}
		}
		heavy := r.Heavy[:min(len(r.Heavy), admission.MaxHeavy)]
		b = append(b, byte(len(heavy)), byte(r.HeavyPriority))
		for _, h := range heavy {
			b = binary.BigEndian.AppendUint32(b, h.Workspace)
			b = binary.BigEndian.AppendUint16(b, uint16(units(h.Demand, demandUnit, 65535)))
		}
	}
	for (len(b)-start)%cacheReadLen != 0 {
		b = append(b, 0)
	}
	binary.BigEndian.PutUint16(b[start:], uint16((len(b)-start)/cacheReadLen))
	return b
}

// units returns v in units, rounded, from 0 to most.
func units(v, unit float64, most int) int {
	if !(v > 0) {
		return 0
	}
	return int(min(v/unit+0.5, float64(most)))
}

// parseDemand decodes the section that appendDemand wrote and returns what follows it.
func parseDemand(b []byte) (reports []admission.Report, rest []byte, err error) {
	if len(b) < cacheReadLen {
		return nil, nil, ErrFormat
	}
	n := int(binary.BigEndian.Uint16(b)) * cacheReadLen
	if n < cacheReadLen || n > len(b) || b[3] > MaxDemand {
		return nil, nil, ErrFormat
	}
	count := int(b[3])
	section, rest := b[cacheReadLen:n], b[n:]
	for range count {
		var r admission.Report
		if r, section, err = parseReport(section); err != nil {
			return nil, nil, err
		}
		reports = append(reports, r)
	}
	if len(section) >= cacheReadLen {
		return nil, nil, ErrFormat
	}
	return reports, rest, nil
}

func parseReport(b []byte) (r admission.Report, rest []byte, err error) {
	if len(b) < demandHeadLen {
		return r, nil, ErrFormat
	}
	r.Pool = binary.BigEndian.Uint32(b)
	r.Overloaded, r.Loaded = b[4]&demandOverload != 0, b[4]&demandLoaded != 0
	r.Occupancy = float64(b[5]) * occupancyUnit
	r.Stretch = float64(binary.BigEndian.Uint16(b[6:])) * stretchUnit
	classes := int(b[8])
	b = b[demandHeadLen:]
	if classes > admission.Classes || len(b) < classes*demandClassLen+2 {
		return r, nil, ErrFormat
	}
	for ; classes > 0; classes-- {
		if int(b[0]) >= admission.Classes {
			return r, nil, ErrFormat
		}
		r.Demand[b[0]] = float64(binary.BigEndian.Uint16(b[1:])) * demandUnit
		b = b[demandClassLen:]
	}
	heavy := int(b[0])
	r.HeavyPriority = int(b[1])
	b = b[2:]
	if heavy > admission.MaxHeavy || r.HeavyPriority >= admission.Priorities || len(b) < heavy*demandHeavyLen {
		return r, nil, ErrFormat
	}
	for ; heavy > 0; heavy-- {
		r.Heavy = append(r.Heavy, admission.Heavy{Workspace: binary.BigEndian.Uint32(b), Demand: float64(binary.BigEndian.Uint16(b[4:])) * demandUnit})
		b = b[demandHeavyLen:]
	}
	return r, b, nil
}
