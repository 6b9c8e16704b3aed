"""Kill instances that exceed their memory, as the platform does."""

import signal
import threading

SAMPLE_S = 0.01
RESTART_S = 1.0


class MemoryWatch:
    """Samples the memory of instances, kills and restarts them.

    Only anonymous memory counts here, without mapped files: the platform
    counts no less.
    """

    def __init__(self, deployment, record, names, memory_mb: int):
        self.deployment = deployment
        self.record = record
        self.memory_mb = memory_mb
        self.peak_by_name = dict.fromkeys(names, 0)
        self.ends_by_name = dict.fromkeys(names, 0)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._watch, args=(name,), daemon=True)
            for name in names
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def write_summary(self) -> None:
        """Record the peaks and ends."""
        for name, peak in self.peak_by_name.items():
            self.record.write(
                f'{name}: peak {peak / 1e6:.0f} MB of {self.memory_mb},'
                f' killed {self.ends_by_name[name]} times'
            )

    def count_failed(self, ends: int) -> int:
        """Return the instances that ended at least so often."""
        return sum(count >= ends for count in self.ends_by_name.values())

    def _watch(self, name: str) -> None:
        while not self.stopped.wait(SAMPLE_S):
            popen = self.deployment.popen_by_name[name]
            used = get_anonymous_bytes(popen.pid)
            self.peak_by_name[name] = max(self.peak_by_name[name], used)
            if used <= self.memory_mb * 1_000_000:
                continue
            self.ends_by_name[name] += 1
            self.record.write(
                f'{name} uses {used / 1e6:.0f} MB of {self.memory_mb}:'
                f' killed, {self.ends_by_name[name]} times now'
            )
            popen.send_signal(signal.SIGKILL)
            popen.wait()
            if not self.stopped.wait(RESTART_S):
                self.deployment.start_entry(name)


def get_anonymous_bytes(pid: int) -> int:
    """Return the resident anonymous memory of a process."""
    try:
        with open(f'/proc/{pid}/status') as status:
            for line in status:
                if line.startswith('RssAnon:'):
                    return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0
