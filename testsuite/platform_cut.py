"""A platform on which one of the nodes has no path to any upstream."""

import json

from platform_standins import Platform, Store, config, free_port


class CutPlatform(Platform):
    """A platform whose first node has no path to any upstream."""

    def __enter__(self):
        self.cut_store = Store()
        super().__enter__()
        self.cut_store.put("op/config", config(1))
        for runner in self.runners:
            self.cut_store.put(f"servers/{runner.name}", json.dumps(
                {"service": "work", "address": f"127.0.0.1:{free_port()}", "zone": "a", "state": "ready",
                 "version": runner.version, "batch_slots": 8, "born": runner.start_count}))
        node = self.nodes[0]
        node.kill()
        text = node.settings.read_text()
        node.settings.write_text(text.replace(self.store.address, self.cut_store.address))
        node.start()
        self.wait_until(lambda: node.readiness_status() == 200)
        return self
