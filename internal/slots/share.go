package slots

// reserveShare is the part of the credits that a level leaves to the less urgent ones if
// they have requests, so that none of them starves.
const reserveShare = 1.0 / 16

// divide returns the number of credits for each of the routers with the given demands.
// More urgent levels come first; within a level the routers with the least get theirs
// first (max-min fairness). What no router demands is spread evenly, so that a request
// finds a credit where it arrives. rotation selects which routers get the credits that do
// not divide evenly. cut is the most urgent level whose demand is not met, or Levels, and unused
// the number of credits that no router demands.
func divide(credits int, demands []Demand, rotation int) (out []int, cut, unused int) {
	out, cut = make([]int, len(demands)), Levels
	if len(demands) == 0 {
		return out, cut, credits
	}
	all := 0
	for _, d := range demands {
		n, _ := d.total()
		all += n
	}
	below := all
	left := credits
	for level := range Levels {
		wants, sum := make([]int, len(demands)), 0
		for i, d := range demands {
			wants[i] = d.Levels[level].Running + d.Levels[level].Waiting
			sum += wants[i]
		}
		below -= sum
		reserve := min(below, int(float64(left)*reserveShare+0.5))
		if sum > left-reserve {
			cut = min(cut, level)
		}
		left -= fill(out, wants, min(sum, left-reserve), rotation)
	}
	if left == 0 {
		return out, cut, 0
	}
	spare := make([]int, len(demands))
	for i := range spare {
		spare[i] = left
	}
	fill(out, spare, left, rotation)
	return out, cut, left
}

// fill adds n credits to out, one after the other to the routers whose wants are not
// fulfilled, and returns how many it added.
func fill(out, wants []int, n, rotation int) int {
	added, given := make([]int, len(out)), 0
	for progress := true; progress && given < n; {
		progress = false
		for i := range out {
			k := (i + rotation) % len(out)
			if given < n && added[k] < wants[k] {
				added[k]++
				given++
				progress = true
			}
		}
	}
	for i, a := range added {
		out[i] += a
	}
	return given
}
