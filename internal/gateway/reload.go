package gateway

import "reflect"

// Reload applies changed settings to the running process: the seeds and the tables [queue] and [speeds].
// Other settings keep their values until a restart. It must not be called concurrently.
func (p *process) Reload(next *Settings) {
	next.applyContracts(p.platform)
	others := *next
	others.Seeds, others.Queue, others.Speeds = p.settings.Seeds, p.settings.Queue, p.settings.Speeds
	same := reflect.DeepEqual(&others, p.settings)
	p.loop.Post(func() { p.state.mesh.SetSeeds(next.seedHosts()) })
	p.reloadQueue(next.Queue)
	p.reloadSpeeds(next.Speeds)
	p.logger.Info("settings_reloaded", "seeds", next.Seeds, "queue", next.Queue.Enabled, "speeds", next.Speeds.Enabled, "others_unchanged", same)
}

// reloadQueue puts the settings of the queue in force. Requests that wait keep waiting, also beyond a
// lower bound and if the queue is disabled.
func (p *process) reloadQueue(next QueueSettings) {
	if p.entry == nil {
		return
	}
	// The memory of the process does not change before a restart, nor does what follows from it.
	next.MaxMB = min(next.MaxMB, max(p.settings.MemoryMB/maxQueueMemoryDivisor, 1))
	p.entry.forwarder.ConfigureQueue(next.policy())
}

// reloadSpeeds turns the use of engines' speeds on or off. A sidecar starts to measure anew.
func (p *process) reloadSpeeds(next SpeedSettings) {
	p.useSpeeds.Store(next.Enabled)
	if p.sidecar != nil {
		p.sidecar.tracker.EstimateSpeed(next.Enabled)
	}
}

// ReloadFailed logs that changed settings are invalid and were not applied.
func (p *process) ReloadFailed(err error) { p.logger.Error(err, "settings_refused") }
