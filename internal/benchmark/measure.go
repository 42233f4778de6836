package benchmark

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"

	"peppervale/internal/model"
)

// medianAndP99 sorts the durations and returns their median and 99th percentile.
func medianAndP99(durations []time.Duration) (median, p99 time.Duration) {
	slices.Sort(durations)
	count := len(durations)
	return durations[count/2], durations[min(count-1, count*99/100)]
}

// quantile returns a quantile of sorted durations, of which there must be at least one.
func quantile(sorted []model.Microseconds, fraction float64) time.Duration {
	return sorted[int(fraction*float64(len(sorted)-1))].Duration()
}

// cpuTime returns the CPU time of this process, including system time, or 0 if the kernel does not report it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the memory of heap and stacks in bytes, after a garbage collection.
func memoryInUse() int {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int(statistics.HeapInuse + statistics.StackInuse)
}

// printf writes formatted text. It ignores the writer's errors, as the text is written to a terminal.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}

func roundMilliseconds(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }
