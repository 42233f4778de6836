package balancer

import "container/heap"

// rankedReplica is a replica with its score. The lowest score comes first; among equals the one that the balancer's
// random order has first.
type rankedReplica struct {
	replica *replica
	score   int
	place   int // in Balancer.replicas
}

// before is the order of replicas in a ranking.
func (x *rankedReplica) before(other *rankedReplica) bool {
	return x.score < other.score || x.score == other.score && x.place < other.place
}

// ranking is a heap, so that finding the next best of thousands of replicas does not scan them all.
type ranking struct{ heap rankingHeap }

// rank scores the replicas in use.
func (b *Balancer) rank(score func(*replica) int) *ranking {
	all := make([]rankedReplica, len(b.replicas))
	ranks := &ranking{heap: make(rankingHeap, 0, len(all))}
	for place, r := range b.replicas {
		if r.inUse() {
			all[place] = rankedReplica{r, score(r), place}
			ranks.heap = append(ranks.heap, &all[place])
		}
	}
	heap.Init(&ranks.heap)
	return ranks
}

// takeBest removes and returns the best replica that fits; nil if none does. The others stay.
func (ranks *ranking) takeBest(fits func(*replica) bool) (best *rankedReplica) {
	var aside []*rankedReplica
	for best == nil && len(ranks.heap) > 0 {
		next := heap.Pop(&ranks.heap).(*rankedReplica)
		if fits(next.replica) {
			best = next
		} else {
			aside = append(aside, next)
		}
	}
	for _, x := range aside {
		heap.Push(&ranks.heap, x)
	}
	return best
}

// putBack returns a replica to the ranking with another score.
func (ranks *ranking) putBack(x *rankedReplica, score int) {
	x.score = score
	heap.Push(&ranks.heap, x)
}

// rankingHeap implements heap.Interface.
type rankingHeap []*rankedReplica

func (h rankingHeap) Len() int           { return len(h) }
func (h rankingHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h rankingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by package heap alone.
func (h *rankingHeap) Push(x any) {
	*h = append(*h, x.(*rankedReplica))
}

// Pop is called by package heap alone.
func (h *rankingHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
