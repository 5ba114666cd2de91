package members

import (
	"fmt"
	"io"
	"sync"

	"marblespan/internal/clock"
	"marblespan/internal/experiments/report"
)

// Options select what Run measures.
type Options struct {
	Members               int          // number of gateways in a world
	Interval              clock.Micros // time between two probes, and between two heartbeats
	HeartbeatTimeout      clock.Micros // time without a heartbeat after which the heartbeat baseline declares a member dead
	Kills                 int          // number of single kills measured for each detector
	MassFailures          int          // number of worlds in which 46 % of the members are killed at once
	FaultDuration         clock.Micros // simulated time of each fault for the gateways' own detector, which is expected to cause no false deaths
	BaselineFaultDuration clock.Micros // simulated time of each fault for the baselines; shorter, because their false deaths occur early
	IdleMembers           []int        // sizes of the worlds whose idle traffic is measured
	Seed                  uint64
	Progress              io.Writer
}

// Defaults returns options with the sizes that the operators have asked for.
func Defaults() Options {
	return Options{
		Members: 300, Interval: Second / 5, HeartbeatTimeout: 6 * Second / 5, Kills: 100, MassFailures: 5, FaultDuration: 3600 * Second,
		BaselineFaultDuration: 60 * Second, IdleMembers: []int{3, 30, 300}, Seed: 1, Progress: io.Discard,
	}
}

// convergenceTimeout is how long members may take to know each other after their start. detectionTimeout limits how long a measurement
// waits until all members have detected a kill.
const (
	convergenceTimeout = 15 * Second
	detectionTimeout   = 30 * Second
)

// fault is a disturbance of the network or of gateways during which no running member should be declared dead.
type fault struct {
	name  string
	begin func(w *World)
}

var faults = []fault{
	{"30 % lost", func(w *World) { w.Network.LossRate = 0.3 }},
	{"a tenth paused for 1 s, every 10 s", func(w *World) {
		var again func()
		again = func() {
			for _, i := range w.rng.Perm(len(w.nodes))[:max(1, len(w.nodes)/10)] {
				w.Pause(i, Second)
			}
			w.Schedule(w.Now+10*Second, again)
		}
		w.Schedule(w.Now, again)
	}},
	{"a fifth is starved to 30 %", func(w *World) {
		for i := 0; i < len(w.nodes); i += 5 {
			w.Starve(i, 0.7)
		}
	}},
	{"a twentieth of the pairs cut one way", func(w *World) {
		cut := map[[2]int]bool{}
		for i := range w.nodes {
			for j := range i {
				if w.rng.IntN(20) == 0 {
					pair := [2]int{i, j}
					if w.rng.IntN(2) == 0 {
						pair = [2]int{j, i}
					}
					cut[pair] = true
				}
			}
		}
		w.IsCut = func(from, to int) bool { return cut[[2]int{from, to}] }
	}},
}

// Result holds the measurements of one detector.
type Result struct {
	Detector                                  string
	FaultDuration                             clock.Micros      // simulated time of each fault
	FirstDetection, CompleteDetection         *report.Durations // time from a single kill until the first, and until the last, member has detected it
	MassFirstDetection, MassCompleteDetection *report.Durations // the same times when 46 % of the members are killed together, for the members that still run
	IdleBytesPerSecond                        []int64           // bytes that each member sends without faults, by the index of Options.IdleMembers
	FalseDeaths                               []int             // how often a member declared a running member dead, by fault
	UndetectedKills                           int               // kills that not all members had detected within detectionTimeout
}

// NewConvergedWorld returns a world of n gateways that start within a second, and that has run for convergenceTimeout. It returns an error
// if a gateway is then wrong about whether another gateway runs.
func NewConvergedWorld(n int, seed uint64, detector Detector) (*World, error) {
	w := NewWorld(n, seed, detector)
	for i := range n {
		w.Schedule(clock.Micros(w.rng.Int64N(int64(Second))), func() { w.Start(i) })
	}
	w.RunUntil(convergenceTimeout)
	if wrong := w.WrongBeliefs(); wrong > 0 {
		return nil, fmt.Errorf("%s: %d beliefs are wrong %d s after the start", detector.Name, wrong, convergenceTimeout/Second)
	}
	return w, nil
}

// WrongBeliefs returns the number of pairs in which a running gateway is wrong about whether the other gateway runs.
func (w *World) WrongBeliefs() (n int) {
	for i := range w.nodes {
		for j := range w.nodes {
			if w.Running(i) && w.nodes[i].alive(j) != w.Running(j) {
				n++
			}
		}
	}
	return n
}

// Run measures each detector. Each measurement has a world and a goroutine of its own. Run waits for all measurements and returns the
// first error.
func Run(options Options) ([]Result, error) {
	detectors := []Detector{SWIM(options.Interval, false), SWIM(options.Interval, true), Heartbeats(options.Interval, options.HeartbeatTimeout)}
	results := make([]Result, len(detectors))
	running := measurements{progress: options.Progress}
	for i, detector := range detectors {
		faultDuration := options.BaselineFaultDuration
		if i == 0 {
			faultDuration = options.FaultDuration
		}
		results[i] = newResult(options, detector, faultDuration)
		results[i].start(&running, options, detector)
	}
	return results, running.wait()
}

// measurements runs measurements concurrently, each on a goroutine of its own, and keeps the first error.
type measurements struct {
	progress io.Writer
	running  sync.WaitGroup

	mu  sync.Mutex // guards err and progress
	err error
}

// start runs a measurement on a new goroutine, which ends with the measurement.
func (m *measurements) start(name string, measure func() error) {
	m.running.Go(func() {
		err := measure()
		m.mu.Lock()
		defer m.mu.Unlock()
		if err != nil && m.err == nil {
			m.err = err
		}
		fmt.Fprintf(m.progress, "%s\n", name)
	})
}

// wait waits for all measurements and returns the first error.
func (m *measurements) wait() error {
	m.running.Wait()
	return m.err
}

func newResult(options Options, detector Detector, faultDuration clock.Micros) Result {
	return Result{
		Detector: detector.Name, FaultDuration: faultDuration,
		FirstDetection: report.NewDurations(), CompleteDetection: report.NewDurations(),
		MassFirstDetection: report.NewDurations(), MassCompleteDetection: report.NewDurations(),
		IdleBytesPerSecond: make([]int64, len(options.IdleMembers)), FalseDeaths: make([]int, len(faults)),
	}
}

// start starts all measurements of a detector. They need no lock for the result, because each of them writes only its own fields or
// elements.
func (r *Result) start(running *measurements, options Options, detector Detector) {
	running.start(detector.Name+": kills", func() error { return r.measureKills(options, detector) })
	running.start(detector.Name+": 46 %", func() error { return r.measureMassKills(options, detector) })
	for i, n := range options.IdleMembers {
		running.start(fmt.Sprintf("%s: idle traffic of %d", detector.Name, n), func() (err error) {
			r.IdleBytesPerSecond[i], err = measureIdleTraffic(n, options.Seed, detector)
			return err
		})
	}
	for i, injected := range faults {
		running.start(detector.Name+": "+injected.name, func() (err error) {
			r.FalseDeaths[i], err = countFalseDeaths(options, r.FaultDuration, detector, injected)
			return err
		})
	}
}

// killAndAwait kills gateways and runs the world until all running members have detected all kills, but at most for detectionTimeout. It
// returns the times from the kill to the first and to the last detection, and whether all members have detected all kills.
func killAndAwait(w *World, victims []int) (first, all clock.Micros, detected bool) {
	killed := w.Now
	killedMembers := map[int]bool{}
	for _, v := range victims {
		killedMembers[v] = true
		w.Kill(v)
	}
	left := 0
	for i := range w.nodes {
		for _, v := range victims {
			if w.Running(i) && w.nodes[i].alive(v) {
				left++
			}
		}
	}
	w.beliefChanged = func(observer, subject int, alive bool) {
		if !alive && killedMembers[subject] && w.Running(observer) {
			if first == 0 {
				first = w.Now - killed
			}
			all = w.Now - killed
			left--
		}
	}
	for end := w.Now + detectionTimeout; left > 0 && w.Now < end; {
		w.RunUntil(w.Now + Second/20)
	}
	w.beliefChanged = nil
	return first, all, left == 0
}

func (r *Result) measureKills(o Options, detector Detector) error {
	w, err := NewConvergedWorld(o.Members, o.Seed, detector)
	if err != nil {
		return err
	}
	for range o.Kills {
		w.RunUntil(w.Now + clock.Micros(w.rng.Int64N(int64(o.Interval))))
		victim := w.rng.IntN(o.Members)
		first, all, detected := killAndAwait(w, []int{victim})
		if !detected {
			r.UndetectedKills++
		}
		r.FirstDetection.Add(int64(first))
		r.CompleteDetection.Add(int64(all))
		w.Start(victim)
		w.RunUntil(w.Now + 3*Second)
	}
	return nil
}

func (r *Result) measureMassKills(o Options, detector Detector) error {
	for i := range o.MassFailures {
		w, err := NewConvergedWorld(o.Members, o.Seed+uint64(i)+1, detector)
		if err != nil {
			return err
		}
		first, all, detected := killAndAwait(w, w.rng.Perm(o.Members)[:o.Members*46/100])
		if !detected {
			r.UndetectedKills++
		}
		r.MassFirstDetection.Add(int64(first))
		r.MassCompleteDetection.Add(int64(all))
	}
	return nil
}

// measureIdleTraffic returns how many bytes a member sends per second without faults.
func measureIdleTraffic(n int, seed uint64, detector Detector) (int64, error) {
	w, err := NewConvergedWorld(n, seed, detector)
	if err != nil {
		return 0, err
	}
	const seconds = 20
	w.measuresSizes = true
	before := w.sentBytes()
	w.RunUntil(w.Now + seconds*Second)
	return (w.sentBytes() - before) / seconds / int64(n), nil
}

// sentBytes returns how many bytes all gateways have sent so far.
func (w *World) sentBytes() (sum int64) {
	for _, member := range w.nodes {
		sum += member.sentBytes
	}
	return sum
}

// countFalseDeaths counts how often a member declares another one dead during a fault. All members run during the fault, so each such
// declaration is false.
func countFalseDeaths(o Options, duration clock.Micros, detector Detector, injected fault) (int, error) {
	w, err := NewConvergedWorld(o.Members, o.Seed, detector)
	if err != nil {
		return 0, err
	}
	count := 0
	w.beliefChanged = func(observer, subject int, alive bool) {
		if !alive {
			count++
		}
	}
	injected.begin(w)
	w.RunUntil(w.Now + duration)
	return count, nil
}
