package cluster

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"switchferry/internal/fake"
)

// Agent is a data agent process that runs beside a fake worker.
type Agent struct{ command *exec.Cmd }

// PID returns the process id.
func (agent *Agent) PID() int { return agent.command.Process.Pid }

// ServeDatasets starts an empty dataset store and enables the data feature with its URL for the controllers that are
// started afterwards.
func (cluster *Cluster) ServeDatasets() error {
	objects := fake.NewObjects()
	address, err := cluster.serve(http.HandlerFunc(objects.ServeHTTP))
	if err != nil {
		return err
	}
	cluster.datasetStore = "http://" + address
	return cluster.EnableFeatures(fmt.Sprintf("[data]\non = true\nstore = %q\nlink_mb_per_s = 125.0\nstore_mb_per_s = 1000.0\n", cluster.datasetStore))
}

// EnableFeatures appends TOML text to the features file. Controllers that are started afterwards read it.
func (cluster *Cluster) EnableFeatures(text string) error {
	name := filepath.Join(cluster.dir, "features.toml")
	if cluster.features == "" {
		cluster.options.Arguments = append(cluster.options.Arguments, "--features", name)
	}
	cluster.features += text
	return os.WriteFile(name, []byte(cluster.features), 0o600)
}

// StartAgents starts data agents for the machines n-000000 to n-<n-1>. ServeDatasets must be called first. The agents'
// connections to controllers pass through forwarded ports, where their traffic is counted. Close ends the agents.
func (cluster *Cluster) StartAgents(program string, n int) ([]*Agent, error) {
	arguments := []string{"stager", "--store", cluster.datasetStore, "--cache", "1GB"}
	for _, controller := range cluster.Controllers {
		link, err := cluster.newLink(peerLink{target: controller.Settings.Listen, kind: "agents to " + controller.Settings.Member})
		if err != nil {
			return nil, err
		}
		arguments = append(arguments, "--controller", controller.Settings.Member+"="+link)
	}
	var agents []*Agent
	for index := range n {
		address, err := allocateAddresses(cluster.ctx, 1)
		if err != nil {
			return nil, err
		}
		machine := fmt.Sprintf("n-%06d", index)
		command := exec.Command(program, //nolint:noctx // Close kills the process and waits for it.
			append(arguments, "--machine", machine, "--address", address[0], "--dir", filepath.Join(cluster.dir, "cache-"+machine))...)
		command.Env = append(os.Environ(), "LOG_LEVEL=error")
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return nil, err
		}
		agents = append(agents, &Agent{command})
		cluster.mu.Lock()
		cluster.cleanup = append(cluster.cleanup, func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		})
		cluster.mu.Unlock()
	}
	return agents, nil
}
