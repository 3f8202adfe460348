"""Platforms on which one of the nodes is cut off from a part of the others."""

import json

from platform_standins import ClosedPort, Platform, Store, config


class StoreOfOneNode(Platform):
    """A platform whose first node has a store of its own, with the same tables and upstreams
    at first."""

    def __enter__(self):
        self.own_store = Store()
        super().__enter__()
        self.own_store.put("op/config", config(1))
        for runner in self.runners:
            self.own_store.put(f"servers/{runner.name}", self.entry_in_own_store(runner))
        node = self.nodes[0]
        node.kill()
        text = node.settings.read_text()
        node.settings.write_text(text.replace(self.store.address, self.own_store.address))
        node.start()
        self.wait_until(lambda: node.readiness_status() == 200)
        return self

    def put_config(self, text):
        """Writes the same configuration to both stores."""
        for store in (self.own_store, self.store):
            store.put("op/config", text)

    def entry_in_own_store(self, runner):
        return self.store.items[f"servers/{runner.name}"][0]


class CutPlatform(StoreOfOneNode):
    """A platform whose first node has no path to any upstream."""

    def __enter__(self):
        self.closed_ports = []
        return super().__enter__()

    @property
    def cut_store(self):
        return self.own_store

    def entry_in_own_store(self, runner):
        self.closed_ports.append(ClosedPort())
        return json.dumps(
            {"service": "work", "address": self.closed_ports[-1].address, "zone": "a", "state": "ready",
             "version": runner.version, "batch_slots": 8, "born": runner.start_count})
