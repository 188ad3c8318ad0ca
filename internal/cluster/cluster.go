// Package cluster runs a deployment on this machine for experiments: controllers as separate processes, fakes of the
// state service and the cloud with all limits enforced, and fake workers, which speak the workers' protocol over
// loopback connections but execute no tasks. Network partitions between zones, message faults and state service faults
// can be injected.
//
// The resource use of controllers is measured from outside their processes: Sample reads the kernel's counters of a
// process, and Traffic counts messages and bytes on the connections, all of which end at or pass through this process.
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
	// Zones lists the zone of each controller.
	Zones []string
	// Facts are the platform's facts in the controllers' settings. The fakes enforce the limits of the state service and
	// the cloud that they state.
	Facts settings.Facts
	// MachineType is the only machine type.
	MachineType api.MachineType
	// RentalCapacity is how many machines can be rented in addition to those of AddWorkers.
	RentalCapacity int
	// Arguments are further arguments of `serve` for all controllers.
	Arguments []string
	// LogDir is the directory of the controllers' log files, one for each member. If it is empty, logs are discarded.
	// LogLevel is the controllers' log level, "error" if empty.
	LogDir, LogLevel string
	// TaskDuration returns how long a task runs.
	TaskDuration func(task string) time.Duration
	// Observer, if not nil, is notified of starts and ends of tasks.
	Observer Observer
	// OnIneffectiveStart, if not nil, is called for each start command that has no effect at a worker.
	OnIneffectiveStart func(kind fake.IneffectiveStart)
}

// Observer is notified of starts and ends of tasks, in order for each worker. It is called with that worker's lock held
// and must not call the worker.
type Observer interface {
	// Started is called when a machine starts a task under a leader's term.
	Started(task, machine string, term uint64)
	// Ended is called when a task no longer runs on a machine; done reports whether it completed.
	Ended(task, machine string, done bool)
}

// Cluster is a running deployment.
type Cluster struct {
	options Options
	dir     string
	clock   clockwork.Clock
	ctx     context.Context
	stop    context.CancelFunc

	// State is the fake of the state service.
	State *fake.State
	// Cloud is the fake of the cloud.
	Cloud *fake.Cloud
	// Controllers are the members, in the order of Options.Zones.
	Controllers []*Controller
	// Traffic counts the messages on all connections.
	Traffic  *Traffic
	delays   delayRecorder
	network  *zoneNetwork
	messages messageFaults
	// stateLinks are the controllers' connections to the state service, by member.
	stateLinks map[string]*stateLink
	http       *http.Client
	cleanup    []func()
	// datasetStore is the base URL of the dataset store, and features the text of the features file. Both may be empty.
	datasetStore, features string

	mu          sync.Mutex         // guards workers and zonesByTerm
	workers     map[string]*Worker // by machine
	zonesByTerm map[uint64]string  // the zone of the leader of each term
	// OnReturned is called, without locks held, for each machine that a controller returned to the cloud, with the number
	// of tasks that ran on it. It may be set only before the first worker is added.
	OnReturned func(w *Worker, running int)
}

// Controller is one member of the cluster. It has at most one process at a time and can be started again after it
// ended.
type Controller struct {
	// Settings are the member's settings. They do not change after New.
	Settings *settings.Settings
	cluster  *Cluster
	mu       sync.Mutex // guards command
	command  *exec.Cmd
}

// New starts the fakes and writes the controllers' settings files. It does not start the controllers. The caller must
// call Close.
func New(ctx context.Context, options Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return nil, err
	}
	clock := clockwork.NewRealClock()
	ctx, stop := context.WithCancel(ctx)
	facts := options.Facts
	cluster := &Cluster{options: options, dir: dir, clock: clock, ctx: ctx, stop: stop, State: fake.NewState(clock),
		Cloud: fake.NewCloud(clock, []api.MachineType{options.MachineType}, facts.Cloud.RPS), Traffic: newTraffic(), delays: delayRecorder{delays: newDelays()}, network: newNetwork(),
		http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, workers: map[string]*Worker{}, stateLinks: map[string]*stateLink{}, zonesByTerm: map[uint64]string{},
		OnReturned: func(*Worker, int) {}}
	cluster.cleanup = append(cluster.cleanup, func() { _ = os.RemoveAll(dir) })
	cluster.State.SetLimits(fake.Limits{RPS: facts.State.RPS, WriteRPS: facts.State.WriteRPS, ValueKB: facts.State.ValueKB, TxnOps: facts.State.TxnOps})
	cluster.Cloud.Capacity = options.RentalCapacity
	cluster.Cloud.OnRented, cluster.Cloud.OnReturned = cluster.machineRented, cluster.machineReturned
	if err := cluster.configure(); err != nil {
		cluster.Close()
		return nil, err
	}
	go cluster.watchLeader()
	return cluster, nil
}

// Close ends everything that the cluster started and removes its directory.
func (cluster *Cluster) Close() {
	cluster.stop()
	for _, controller := range cluster.Controllers {
		controller.Kill()
	}
	for _, cleanup := range slices.Backward(cluster.cleanup) {
		cleanup()
	}
}

// AddArguments appends to the `serve` arguments of the controllers that are started afterwards.
func (cluster *Cluster) AddArguments(arguments ...string) {
	cluster.options.Arguments = append(cluster.options.Arguments, arguments...)
}

// Dir returns the cluster's temporary directory, which Close removes.
func (cluster *Cluster) Dir() string { return cluster.dir }

// configure opens the ports through which controllers reach each other and the fakes, and writes the controllers'
// settings.
func (cluster *Cluster) configure() error {
	addresses, err := allocateAddresses(cluster.ctx, 2*len(cluster.options.Zones))
	if err != nil {
		return err
	}
	name := func(index int) string { return fmt.Sprintf("n%d", index) }
	for index, zone := range cluster.options.Zones {
		controllerSettings := &settings.Settings{Member: name(index), Zone: zone, Listen: addresses[2*index], PeerListen: addresses[2*index+1], Facts: cluster.options.Facts}
		for j, other := range cluster.options.Zones {
			if j == index {
				continue
			}
			link, err := cluster.newLink(peerLink{target: addresses[2*j+1], kind: fmt.Sprintf("siblings of %s", name(index)), fromZone: zone, toZone: other, fromMember: name(index), toMember: name(j)})
			if err != nil {
				return err
			}
			controllerSettings.Peers = append(controllerSettings.Peers, settings.Peer{Member: name(j), Zone: other, Address: link})
		}
		if controllerSettings.External.State, err = cluster.serveRegional(cluster.addStateLink(name(index)), "state", name(index), zone); err != nil {
			return err
		}
		if controllerSettings.External.Cloud, err = cluster.serveRegional(cluster.Cloud, "cloud", name(index), zone); err != nil {
			return err
		}
		cluster.Controllers = append(cluster.Controllers, &Controller{Settings: controllerSettings, cluster: cluster})
		raw, err := toml.Marshal(controllerSettings)
		if err == nil {
			err = os.WriteFile(cluster.settingsFile(name(index)), raw, 0o600)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// addStateLink creates and registers a controller's link to the state service.
func (cluster *Cluster) addStateLink(member string) *stateLink {
	link := newStateLink(cluster.ctx, cluster.State)
	cluster.stateLinks[member] = link
	return link
}

func (cluster *Cluster) settingsFile(member string) string {
	return filepath.Join(cluster.dir, member+".toml")
}

// Start starts the controller's process. It fails if one already runs.
func (controller *Controller) Start(program string) error {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command != nil {
		return fmt.Errorf("controller %s is already running", controller.Settings.Member)
	}
	command := exec.Command(program, //nolint:noctx // Kill, Terminate and Close end the process and wait for it.
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
	// The kernel kills the controller when this process ends for any reason.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	controller.command = command
	return nil
}

// Kill sends SIGKILL to the process and waits for its end. It does nothing if no process runs.
func (controller *Controller) Kill() { controller.endProcess(func(p *os.Process) { _ = p.Kill() }) }

// Terminate sends SIGTERM to the process and waits for its end. It does nothing if no process runs.
func (controller *Controller) Terminate() {
	controller.endProcess(func(p *os.Process) { _ = p.Signal(syscall.SIGTERM) })
}

// endProcess calls end with the process, if one runs, and waits for the process to exit.
func (controller *Controller) endProcess(end func(*os.Process)) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command != nil {
		end(controller.command.Process)
		_ = controller.command.Wait()
	}
	controller.command = nil
}

// Pause suspends the process with SIGSTOP until Resume. Its clocks keep running.
func (controller *Controller) Pause() { controller.signal(syscall.SIGSTOP) }

// Resume continues a process that Pause suspended.
func (controller *Controller) Resume() { controller.signal(syscall.SIGCONT) }

// signal sends a signal to the process, if one runs.
func (controller *Controller) signal(signal os.Signal) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command != nil {
		_ = controller.command.Process.Signal(signal)
	}
}

// EndedByItself reports whether the process has ended other than by Kill, Terminate or Close.
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

// zombieState is the kernel's state code of a process that has ended and has not been waited for.
const zombieState = "Z"

// PID returns the process id, 0 if no process runs.
func (controller *Controller) PID() int {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.command == nil {
		return 0
	}
	return controller.command.Process.Pid
}

// Leader returns the leader that is recorded in the state service, nil if there is none.
func (cluster *Cluster) Leader() *Controller {
	member, _ := cluster.currentLeader()
	for _, controller := range cluster.Controllers {
		if controller.Settings.Member == member {
			return controller
		}
	}
	return nil
}

// WaitForLeader waits until a leader is recorded in the state service. It returns ErrTimeout if there is none within
// the timeout.
func (cluster *Cluster) WaitForLeader(timeout time.Duration) error {
	return cluster.WaitUntil(timeout, func() bool { return cluster.Leader() != nil })
}

// ErrTimeout is returned when a condition did not hold before a timeout.
var ErrTimeout = errors.New("not in time")

// WaitUntil polls the condition every 200 ms until it holds. It returns ErrTimeout after the timeout, or the context's
// error if the cluster is closed.
func (cluster *Cluster) WaitUntil(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); !condition(); {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %v", ErrTimeout, timeout)
		}
		if !cluster.Sleep(200 * time.Millisecond) {
			return cluster.ctx.Err()
		}
	}
	return nil
}

// Sleep waits for a duration. It reports false if the cluster was closed before the duration had passed.
func (cluster *Cluster) Sleep(d time.Duration) bool { return sleep.OnRealClock(cluster.ctx, d) }

// Call sends an HTTP request to a controller's public address and returns the status and the body of the answer.
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
