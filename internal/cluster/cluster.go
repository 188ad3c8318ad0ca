// Package cluster runs a deployment on this machine for experiments: three controllers as processes of their own,
// the fakes of the state service and the cloud with every limit enforced, and fake workers, which speak the workers'
// protocol over real loopback connections and run nothing. Zones can be cut off from each other. Close ends everything
// that the cluster started.
//
// The resources that controllers use are measured from outside: Sample reads what the kernel counts of a process, and
// Traffic counts what goes over the connections, all of which end at or pass through this process.
package cluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pelletier/go-toml/v2"
	"github.com/prometheus/procfs"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/internal/sleep"
	"switchferry/settings"
)

// Options configure a cluster.
type Options struct {
	// Zones has the zone of each controller; Facts is what the platform tells them. Its limits of the state service
	// and the cloud are enforced by the stand-ins.
	Zones []string
	Facts settings.Facts
	// Type is the only type of machine; Room is how many machines can be rented besides those of AddWorkers.
	Type api.MachineType
	Room int
	// Arguments are further arguments of `serve`, the same for every controller.
	Arguments []string
	// LogDir is where the controllers' logs go, one file each; empty: they are dropped. LogLevel is theirs.
	LogDir, LogLevel string
	// Runs is how long a task of a job runs. Audit is told of starts and ends, and may be nil.
	Runs  func(task string) time.Duration
	Audit Observer
	// Crossed, if not nil, is told of each start that changes nothing at its worker.
	Crossed func(kind fake.CrossedStart)
}

// Observer learns of what workers do with tasks, in order for each worker. It is called with that worker's lock held and
// must not call the worker.
type Observer interface {
	Started(task, machine string, term uint64)
	Ended(task, machine string, done bool)
}

// Cluster is a running deployment.
type Cluster struct {
	options Options
	dir     string
	clock   clockwork.Clock
	ctx     context.Context
	stop    context.CancelFunc

	State       *fake.State
	Cloud       *fake.Cloud
	Controllers []*Controller
	Traffic     *Traffic
	delays      delayRecorder
	network     *zoneNetwork
	messages    messageFaults
	// stateLinks are the controllers' ways to the state service, by member.
	stateLinks map[string]*stateLink
	http       *http.Client
	cleanup    []func()
	// datasetStore is the base URL of the store of datasets, and features the text of the features file; both may be empty.
	datasetStore, features string

	mu          sync.Mutex
	workers     map[string]*Worker // by machine
	zonesByTerm map[uint64]string  // the zone of the leader of each term
	// Returned is told, without locks, of machines that controllers gave back to the cloud; it may be set before
	// the first worker is added.
	Returned func(w *Worker, running int)
}

// Controller is one controller, which may be run by one process after another.
type Controller struct {
	Settings *settings.Settings
	cluster  *Cluster
	mu       sync.Mutex
	command  *exec.Cmd
}

// New starts the fakes and writes the controllers' settings; no controller runs yet. The caller must Close the cluster.
func New(ctx context.Context, options Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return nil, err
	}
	clock := clockwork.NewRealClock()
	ctx, stop := context.WithCancel(ctx)
	facts := options.Facts
	cluster := &Cluster{options: options, dir: dir, clock: clock, ctx: ctx, stop: stop, State: fake.NewState(clock),
		Cloud: fake.NewCloud(clock, []api.MachineType{options.Type}, facts.Cloud.RPS), Traffic: newTraffic(), delays: delayRecorder{delays: newDelays()}, network: newNetwork(),
		http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, workers: map[string]*Worker{}, stateLinks: map[string]*stateLink{}, zonesByTerm: map[uint64]string{},
		Returned: func(*Worker, int) {}}
	cluster.cleanup = append(cluster.cleanup, func() { _ = os.RemoveAll(dir) })
	cluster.State.Limit(fake.Limits{RPS: facts.State.RPS, WriteRPS: facts.State.WriteRPS, ValueKB: facts.State.ValueKB, TxnOps: facts.State.TxnOps})
	cluster.Cloud.Room = options.Room
	cluster.Cloud.Up, cluster.Cloud.Gone = cluster.machineRented, cluster.machineReturned
	if err := cluster.configure(); err != nil {
		cluster.Close()
		return nil, err
	}
	go cluster.watchLeader()
	return cluster, nil
}

// Close ends all that the cluster started.
func (cluster *Cluster) Close() {
	cluster.stop()
	for _, controller := range cluster.Controllers {
		controller.Kill()
	}
	for _, cleanup := range slices.Backward(cluster.cleanup) {
		cleanup()
	}
}

// AddArguments adds to the arguments of `serve` of the controllers that are started afterwards.
func (cluster *Cluster) AddArguments(more ...string) {
	cluster.options.Arguments = append(cluster.options.Arguments, more...)
}

// Dir is a directory of the cluster's own, removed by Close.
func (cluster *Cluster) Dir() string { return cluster.dir }

// configure opens the ports around the controllers and writes their settings.
func (cluster *Cluster) configure() error {
	free, err := freeAddresses(cluster.ctx, 2*len(cluster.options.Zones))
	if err != nil {
		return err
	}
	name := func(index int) string { return fmt.Sprintf("n%d", index) }
	for index, zone := range cluster.options.Zones {
		set := &settings.Settings{Member: name(index), Zone: zone, Listen: free[2*index], PeerListen: free[2*index+1], Facts: cluster.options.Facts}
		for j, other := range cluster.options.Zones {
			if j == index {
				continue
			}
			link, err := cluster.newLink(peerLink{target: free[2*j+1], kind: fmt.Sprintf("siblings of %s", name(index)), fromZone: zone, toZone: other, fromMember: name(index), toMember: name(j)})
			if err != nil {
				return err
			}
			set.Peers = append(set.Peers, settings.Peer{Member: name(j), Zone: other, Address: link})
		}
		if set.External.State, err = cluster.serveRegional(cluster.newStateLinkOf(name(index)), "state", name(index), zone); err != nil {
			return err
		}
		if set.External.Cloud, err = cluster.serveRegional(cluster.Cloud, "cloud", name(index), zone); err != nil {
			return err
		}
		cluster.Controllers = append(cluster.Controllers, &Controller{Settings: set, cluster: cluster})
		raw, err := toml.Marshal(set)
		if err == nil {
			err = os.WriteFile(cluster.settingsFile(name(index)), raw, 0o600)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// newStateLinkOf returns the way to the state service of a controller.
func (cluster *Cluster) newStateLinkOf(member string) *stateLink {
	link := newStateLink(cluster.ctx, cluster.State)
	cluster.stateLinks[member] = link
	return link
}

func (cluster *Cluster) settingsFile(member string) string {
	return filepath.Join(cluster.dir, member+".toml")
}

// Start begins a process of the controller.
func (controller *Controller) Start(program string) error {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command != nil {
		return fmt.Errorf("%s runs already", controller.Settings.Member)
	}
	command := exec.Command(program, //nolint:noctx // Kill, Terminate and Close end it and wait for it.
		append([]string{"serve", "--config", controller.cluster.settingsFile(controller.Settings.Member)}, controller.cluster.options.Arguments...)...)
	level := controller.cluster.options.LogLevel
	if level == "" {
		level = "error"
	}
	command.Env = append(os.Environ(), "LOG_LEVEL="+level)
	if dir := controller.cluster.options.LogDir; dir != "" {
		log, err := os.OpenFile(filepath.Join(dir, controller.Settings.Member+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer closeQuietly(log)
		command.Stderr = log
	}
	// It must not outlive this process, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	controller.command = command
	return nil
}

// Kill ends the process at once and waits until it is gone; without one it does nothing.
func (controller *Controller) Kill() { controller.endProcess(func(p *os.Process) { _ = p.Kill() }) }

// Terminate tells the process to end, and waits until it has.
func (controller *Controller) Terminate() {
	controller.endProcess(func(p *os.Process) { _ = p.Signal(syscall.SIGTERM) })
}

// endProcess ends the process, if there is one, and waits until it is gone.
func (controller *Controller) endProcess(how func(*os.Process)) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command != nil {
		how(controller.command.Process)
		_ = controller.command.Wait()
	}
	controller.command = nil
}

// Pause suspends the process, whose clocks run on; Resume lets it go on.
func (controller *Controller) Pause() { controller.signal(syscall.SIGSTOP) }

// Resume ends Pause.
func (controller *Controller) Resume() { controller.signal(syscall.SIGCONT) }

// signal sends the process a signal, if there is one.
func (controller *Controller) signal(signal os.Signal) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command != nil {
		_ = controller.command.Process.Signal(signal)
	}
}

// EndedByItself reports whether the process has ended although nobody ended it.
func (controller *Controller) EndedByItself() bool {
	pid := controller.PID()
	if pid == 0 {
		return false
	}
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return true
	}
	stat, err := proc.Stat()
	return err != nil || stat.State == zombieState
}

// zombieState is how the kernel calls a process that has ended and was not waited for.
const zombieState = "Z"

// PID is the process's number, 0 if none runs.
func (controller *Controller) PID() int {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command == nil {
		return 0
	}
	return controller.command.Process.Pid
}

// Leader is the leader according to the state service, nil if there is none.
func (cluster *Cluster) Leader() *Controller {
	member, _ := cluster.currentLeader()
	for _, controller := range cluster.Controllers {
		if controller.Settings.Member == member {
			return controller
		}
	}
	return nil
}

// WaitForLeader waits until a controller leads.
func (cluster *Cluster) WaitForLeader(timeout time.Duration) error {
	return cluster.Until(timeout, func() bool { return cluster.Leader() != nil })
}

// ErrTimeout is returned when a condition did not hold in time.
var ErrTimeout = errors.New("not in time")

// Until waits until f holds, looking five times a second.
func (cluster *Cluster) Until(timeout time.Duration, f func() bool) error {
	for end := time.Now().Add(timeout); !f(); {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %v", ErrTimeout, timeout)
		}
		if !cluster.Sleep(200 * time.Millisecond) {
			return cluster.ctx.Err()
		}
	}
	return nil
}

// Sleep waits for a duration; it reports false if the cluster was closed before.
func (cluster *Cluster) Sleep(d time.Duration) bool { return sleep.Real(cluster.ctx, d) }

// Call sends a user's request to a controller.
func (cluster *Cluster) Call(ctx context.Context, controller *Controller, method, path string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+controller.Settings.Listen+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := cluster.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
