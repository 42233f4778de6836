package balancer

import "container/heap"

// rankedReplica is a replica with its score. The lowest score ranks first. Among equal scores, the replica that comes
// first in Balancer.replicas, which is in random order, ranks first.
type rankedReplica struct {
	replica *replica
	score   int
	index   int // index in Balancer.replicas
}

// ranksBefore reports whether a replica ranks before another.
func (x *rankedReplica) ranksBefore(other *rankedReplica) bool {
	return x.score < other.score || x.score == other.score && x.index < other.index
}

// ranking is a heap of replicas, so that the best of thousands of replicas is found without scanning all of them.
type ranking struct{ heap rankingHeap }

// rank returns a ranking of the replicas in use by the given score.
func (b *Balancer) rank(score func(*replica) int) *ranking {
	ranked := make([]rankedReplica, len(b.replicas))
	ranks := &ranking{heap: make(rankingHeap, 0, len(ranked))}
	for index, r := range b.replicas {
		if r.inUse() {
			ranked[index] = rankedReplica{r, score(r), index}
			ranks.heap = append(ranks.heap, &ranked[index])
		}
	}
	heap.Init(&ranks.heap)
	return ranks
}

// takeBest removes and returns the best replica that fits; nil if none fits. The other replicas stay in the ranking.
func (ranks *ranking) takeBest(fits func(*replica) bool) (best *rankedReplica) {
	var unfit []*rankedReplica
	for best == nil && len(ranks.heap) > 0 {
		next := heap.Pop(&ranks.heap).(*rankedReplica)
		if fits(next.replica) {
			best = next
		} else {
			unfit = append(unfit, next)
		}
	}
	for _, x := range unfit {
		heap.Push(&ranks.heap, x)
	}
	return best
}

// putBack returns a replica to the ranking with a new score.
func (ranks *ranking) putBack(x *rankedReplica, score int) {
	x.score = score
	heap.Push(&ranks.heap, x)
}

// rankingHeap implements heap.Interface.
type rankingHeap []*rankedReplica

func (h rankingHeap) Len() int           { return len(h) }
func (h rankingHeap) Less(i, j int) bool { return h[i].ranksBefore(h[j]) }
func (h rankingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by container/heap only.
func (h *rankingHeap) Push(x any) {
	*h = append(*h, x.(*rankedReplica))
}

// Pop is called by container/heap only.
func (h *rankingHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
