// Command world runs the cases of an independent review: three controllers as processes of the deploy file, and
// stand-ins of the state service, the cloud, the workers and the users on loopback addresses and the real clock. It
// exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pelletier/go-toml/v2"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/store"
)

// options describe a deployment.
type options struct {
	facts        settings.Facts
	zones        []string // of the controllers
	machineTypes []api.MachineType
	taskDuration func(task string) time.Duration
	// slowShare of the state service's answers take up to slowTime; the others take some 6 ms.
	slowShare float64
	slowTime  time.Duration
}

// world is a running deployment.
type world struct {
	ctx         context.Context
	options     options
	clock       clockwork.Clock
	record      *record
	dir         string
	state       *fake.State
	cloud       *fake.Cloud
	controllers []*process
	links       []*link
	machines    []*machine

	mu sync.Mutex
	// running holds the machine of each task that is on one; starts and done count the starts and the
	// completed tasks per job.
	running      map[string]string
	starts, done map[string]int
	lastStartAt  time.Time
}

// process is one controller.
type process struct {
	member, address string
	settings        string // file
	command         *exec.Cmd
}

// broken is the result of a case whose rule was broken.
type broken struct{ reason string }

func (b broken) Error() string { return b.reason }

// cases are the cases by name.
var cases = map[string]struct {
	options func() options
	run     func(*world, bool) error
}{
	"forgotten":    {forgottenOptions, runForgotten},
	"left_waiting": {waitingOptions, runWaiting},
	"wedged":       {wedgedOptions, runWedged},
	// The entry about the watermark, which is no case of its own: see REPORT.md.
	"ran_cancelled": {cancelledOptions, runCancelled},
}

func main() {
	// The kernel ends the controllers when the thread that started them ends.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to run")
	recordFile := flag.String("record", "record.txt", "the file of the record")
	limit := flag.Duration("limit", 117*time.Second, "the longest run")
	keep := flag.String("logs", "", "a folder for the logs of the controllers")
	flag.Parse()
	chosen, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	log, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	err = play(log, chosen.options(), *limit, *keep, func(w *world) error { return chosen.run(w, trouble) })
	code := 0
	var violation broken
	switch {
	case errors.As(err, &violation):
		log.say("BROKEN: %v", err)
		code = 1
	case err != nil:
		log.say("the case could not run: %v", err)
		code = 2
	default:
		log.say("the rule held")
	}
	log.close()
	os.Exit(code)
}

// play runs a case in a new world.
func play(log *record, opts options, limit time.Duration, keep string, run func(*world) error) error {
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{ctx: ctx, options: opts, clock: clockwork.NewRealClock(), record: log, dir: dir, running: map[string]string{}, starts: map[string]int{}, done: map[string]int{}}
	defer func() { w.end(keep) }()
	if err := w.start(); err != nil {
		return err
	}
	err = run(w)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the run took too long")
	}
	return err
}

// start starts the stand-ins and the controllers.
func (w *world) start() error {
	facts := w.options.facts
	w.state = fake.NewState(w.clock)
	w.state.SetLimits(fake.Limits{RPS: facts.State.RPS, WriteRPS: facts.State.WriteRPS, ValueKB: facts.State.ValueKB, TxnOps: facts.State.TxnOps})
	w.cloud = fake.NewCloud(w.clock, w.options.machineTypes, facts.Cloud.RPS)
	state, err := w.serve(w.forwardTo(w.state, w.stateDelay))
	if err != nil {
		return err
	}
	cloud, err := w.serve(w.forwardTo(w.cloud, func(string) time.Duration { return 100 * time.Millisecond }))
	if err != nil {
		return err
	}
	return w.startControllers(state, cloud)
}

// stateDelay returns how long the state service takes for a request: less than 10 ms, and occasionally a few hundred.
func (w *world) stateDelay(string) time.Duration {
	if rand.Float64() < w.options.slowShare {
		return w.options.slowTime
	}
	return time.Duration((4 + 4*rand.Float64()) * float64(time.Millisecond))
}

// forwardTo returns a handler that passes requests to a stand-in, each after half of its delay, and answers after the
// other half.
func (w *world) forwardTo(service http.RoundTripper, delay func(path string) time.Duration) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		wait := delay(request.URL.Path) / 2
		time.Sleep(wait)
		response, err := service.RoundTrip(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = response.Body.Close() }()
		time.Sleep(wait)
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(response.StatusCode)
		_, _ = io.Copy(writer, response.Body)
	})
}

// serve runs an HTTP server on a free loopback port until the world ends.
func (w *world) serve(handler http.Handler) (address string, err error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// listen listens on a free loopback port. It chooses one that the kernel does not give to outgoing connections, so that a
// port which is closed stays free until it is used again.
func listen() (net.Listener, error) {
	const lowest, highest, attempts = 15000, 31000, 100
	var err error
	for range attempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// reserveAddresses returns loopback addresses that nobody else can take before release is called.
func reserveAddresses(count int) (addresses []string, release func(), err error) {
	var listeners []net.Listener
	release = func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}
	for range count {
		listener, err := listen()
		if err != nil {
			release()
			return nil, nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, release, nil
}

// startControllers writes the settings files and starts the processes as the deploy file says.
func (w *world) startControllers(state, cloud string) error {
	addresses, release, err := reserveAddresses(2 * len(w.options.zones))
	if err != nil {
		return err
	}
	files, err := w.writeSettings(addresses, state, cloud)
	release()
	if err != nil {
		return err
	}
	for i, file := range files {
		controller := &process{member: memberName(i), address: addresses[2*i], settings: file}
		w.controllers = append(w.controllers, controller)
		if err := w.startProcess(controller); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts the process of a controller, which must not run.
func (w *world) startProcess(controller *process) error {
	program, arguments, err := deployCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, controller.member+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, append(arguments, controller.settings)...)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	controller.command = command
	w.record.note("started %s at %s", controller.member, controller.address)
	return nil
}

// kill ends the process of a controller, if one runs.
func (w *world) kill(controller *process) {
	if controller.command == nil {
		return
	}
	_ = controller.command.Process.Kill()
	_ = controller.command.Wait()
	controller.command = nil
	w.record.note("killed %s", controller.member)
}

// memberName returns the name of a controller.
func memberName(i int) string { return fmt.Sprintf("ferryhost-%d", i) }

// writeSettings opens the paths between the controllers and writes their settings files. Each controller has two of the
// addresses.
func (w *world) writeSettings(addresses []string, state, cloud string) (files []string, err error) {
	for i, zone := range w.options.zones {
		set := settings.Settings{Member: memberName(i), Zone: zone, Listen: addresses[2*i], PeerListen: addresses[2*i+1], Facts: w.options.facts}
		set.External = settings.External{State: state, Cloud: cloud}
		for j, other := range w.options.zones {
			if i == j {
				continue
			}
			path, err := newLink(memberName(i), memberName(j), addresses[2*j+1])
			if err != nil {
				return nil, err
			}
			w.links = append(w.links, path)
			set.Peers = append(set.Peers, settings.Peer{Member: memberName(j), Zone: other, Address: path.address})
		}
		raw, err := toml.Marshal(set)
		if err != nil {
			return nil, err
		}
		file := filepath.Join(w.dir, memberName(i)+".toml")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// deployCommand returns the program and the arguments of the deploy file's run line.
func deployCommand() (program string, arguments []string, err error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return "", nil, err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return "", nil, err
	}
	fields := strings.Fields(deploy.Run)
	if len(fields) == 0 {
		return "", nil, errors.New("the deploy file has no run line")
	}
	return fields[0], fields[1:], nil
}

// end ends the processes that were started, and adds the messages of the controllers about leadership to the record.
func (w *world) end(keep string) {
	for _, controller := range w.controllers {
		w.kill(controller)
		raw, _ := os.ReadFile(filepath.Join(w.dir, controller.member+".log"))
		if keep != "" {
			_ = os.WriteFile(filepath.Join(keep, controller.member+".log"), raw, 0o600)
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "msg=elected") || strings.Contains(line, "leadership lost") || strings.Contains(line, "level=ERROR") || strings.Contains(line, "releasing machine") {
				w.record.note("log of %s: %s", controller.member, strings.TrimSpace(line))
			}
		}
	}
}

// addressOf returns the public address of a member.
func (w *world) addressOf(member string) string {
	for _, controller := range w.controllers {
		if controller.member == member {
			return controller.address
		}
	}
	return ""
}

// leader returns the controller whose leader's key the state service holds, nil if there is none.
func (w *world) leader() *process {
	var found store.LeaderRecord
	if json.Unmarshal(w.state.Get(store.LeaderKey), &found) != nil {
		return nil
	}
	for _, controller := range w.controllers {
		if controller.member == found.Member {
			return controller
		}
	}
	return nil
}

// sleep waits, and reports false if the world ended before.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntil waits for a condition.
func (w *world) waitUntil(what string, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); !condition(); {
		if time.Now().After(end) || !w.sleep(100*time.Millisecond) {
			return fmt.Errorf("not in time: %s", what)
		}
	}
	return nil
}

// taskStarted and taskEnded record what runs where.
func (w *world) taskStarted(task, machine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[task] = machine
	w.starts[jobOf(task)]++
	w.lastStartAt = time.Now()
	w.record.note("%s: %s starts", machine, task)
}

func (w *world) taskEnded(task, machine string, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, task)
	if done {
		w.done[jobOf(task)]++
	}
	w.record.note("%s: %s ends, done %v", machine, task, done)
}

// startsOf returns how many tasks of a job have started, and counts returns how many run anywhere and when the last one
// started.
func (w *world) startsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job]
}

func (w *world) counts() (running int, lastStartAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), w.lastStartAt
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// user is a user with one persistent connection to a controller.
type user struct {
	world  *world
	node   *process
	client *http.Client
}

// newUser returns a user that the load balancer has connected to a controller.
func (w *world) newUser(node *process) *user {
	return &user{world: w, node: node, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// answer is what a user got: a status of 0 means none in time.
type answer struct {
	status  int
	body    string
	retryIn time.Duration
}

// state returns the job's state in an answer with status 200 or 201, empty otherwise.
func (a answer) state() string {
	var status api.JobStatus
	if a.status != http.StatusOK && a.status != http.StatusCreated || json.Unmarshal([]byte(a.body), &status) != nil {
		return ""
	}
	return status.State
}

// call sends a request and waits at most for the timeout.
func (u *user) call(method, path string, body []byte, timeout time.Duration) answer {
	ctx, stop := context.WithTimeout(u.world.ctx, timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.node.address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	sent := time.Now()
	got := answer{retryIn: time.Second}
	response, err := u.client.Do(request)
	if err == nil {
		raw, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			got.status, got.body = response.StatusCode, strings.TrimSpace(string(raw))
		}
		if after, parseErr := time.ParseDuration(response.Header.Get("Retry-After") + "s"); parseErr == nil && after > got.retryIn {
			got.retryIn = after
		}
	}
	u.world.record.note("user at %s: %s %s -> %d %.120s (%d ms)", u.node.member, method, path, got.status, got.body, time.Since(sent).Milliseconds())
	return got
}

// submit submits a job, with retries for up to 60 s, and returns the state in the answer.
func (u *user) submit(submission *api.Submission) (string, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return "", err
	}
	u.world.record.note("user at %s submits %.300s", u.node.member, body)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		got := u.call(http.MethodPost, "/submissions", body, 5*time.Second)
		if state := got.state(); state != "" {
			return state, nil
		}
		if got.status == http.StatusBadRequest || got.status == http.StatusUnprocessableEntity {
			return "", fmt.Errorf("%s refused: %d %s", submission.ID, got.status, got.body)
		}
		if !u.world.sleep(min(got.retryIn, 30*time.Second)) {
			break
		}
	}
	return "", fmt.Errorf("%s not accepted in time", submission.ID)
}

// poll asks for the state of a job.
func (u *user) poll(id string) answer {
	return u.call(http.MethodGet, "/submissions/"+id, nil, 2*time.Second)
}

// summary counts the commands by verb and names the first one.
func summary(commands []api.Command) string {
	counts := map[string]int{}
	for _, command := range commands {
		counts[command.Verb]++
	}
	if len(commands) == 0 {
		return "no commands"
	}
	return fmt.Sprintf("%v, first %s %s try %d", counts, commands[0].Verb, commands[0].Task, commands[0].Attempt)
}

// seconds converts seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
