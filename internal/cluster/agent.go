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

// Agent is the process of a real agent beside a hollow worker.
type Agent struct{ command *exec.Cmd }

// PID is the process's number.
func (a *Agent) PID() int { return a.command.Process.Pid }

// ServeDatasets opens a store of datasets with nothing in it, and writes a features file that names it; the
// controllers that are started afterwards read that file.
func (c *Cluster) ServeDatasets() error {
	objects := fake.NewObjects()
	address, err := c.serve(http.HandlerFunc(objects.ServeHTTP))
	if err != nil {
		return err
	}
	c.store = "http://" + address
	return c.EnableFeatures(fmt.Sprintf("[data]\non = true\nstore = %q\nlink_mb_per_s = 125.0\nstore_mb_per_s = 1000.0\n", c.store))
}

// EnableFeatures adds to the features file of the controllers that are started afterwards.
func (c *Cluster) EnableFeatures(text string) error {
	name := filepath.Join(c.dir, "features.toml")
	if c.features == "" {
		c.options.Arguments = append(c.options.Arguments, "--features", name)
	}
	c.features += text
	return os.WriteFile(name, []byte(c.features), 0o600)
}

// StartAgents runs agents beside so many workers, once datasets are served. What they say to each controller goes
// through a port that counts it.
func (c *Cluster) StartAgents(program string, n int) ([]*Agent, error) {
	arguments := []string{"stager", "--store", c.store, "--cache", "1GB"}
	for _, x := range c.Controllers {
		link, err := c.newLink(x.Settings.Listen, "agents to "+x.Settings.Member, RegionalServices, RegionalServices)
		if err != nil {
			return nil, err
		}
		arguments = append(arguments, "--controller", x.Settings.Member+"="+link)
	}
	var agents []*Agent
	for i := range n {
		address, err := freeAddresses(1)
		if err != nil {
			return nil, err
		}
		machine := fmt.Sprintf("n-%06d", i)
		command := exec.Command(program, append(arguments, "--machine", machine, "--address", address[0], "--dir", filepath.Join(c.dir, "cache-"+machine))...)
		command.Env = append(os.Environ(), "LOG_LEVEL=error")
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return nil, err
		}
		agents = append(agents, &Agent{command})
		c.mu.Lock()
		c.cleanup = append(c.cleanup, func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		})
		c.mu.Unlock()
	}
	return agents, nil
}
