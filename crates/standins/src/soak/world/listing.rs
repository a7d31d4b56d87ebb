//! What the store lists: endpoints and the configuration.

use std::sync::PoisonError;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use crate::estate::node;
use crate::estate::Mode;
use crate::estate::PAGE_OBJECTS;
use crate::soak::history::Change;
use crate::soak::plan::ODD_PARTS;
use crate::soak::world::World;
use crate::soak::world::LIMITED_ACCOUNT;
use crate::soak::world::LIMITED_BURST;
use crate::soak::world::LIMITED_KEY;
use crate::soak::world::LIMITED_RATE_PER_S;
use crate::soak::world::MAX_BODY_BYTES;
use crate::soak::world::ROUTE_TIMEOUT;
use crate::soak::world::UNLIMITED_KEY;

/// The kinds of objects that another writer may leave entries of.
const FOREIGN_KINDS: [&str; 4] = ["servers", "rollouts", "evacuations", "instances"];

// Returns the kinds and names of another writer's entries, which fill the first page of a list.
fn foreign(odd: usize) -> impl Iterator<Item = (&'static str, String)> {
    let names = move |kind| {
        let name = move |number| (kind, format!("0{}{number}", ODD_PARTS[odd]));
        (0..PAGE_OBJECTS).map(name)
    };
    FOREIGN_KINDS.into_iter().flat_map(names)
}

impl World {
    pub(super) fn write_foreign(&self, odd: usize) {
        for (kind, name) in foreign(odd) {
            self.store
                .put(kind, &name, &json!("left by another writer"));
        }
    }

    pub(super) fn remove_foreign(&self, odd: usize) {
        for (kind, name) in foreign(odd) {
            self.store.remove(kind, &name);
        }
    }

    // Another endpoint takes over the address; requests for the removed one must not run
    // on it.
    pub(super) fn reuse_address(&mut self, at: usize) {
        let (old, new) = {
            let target = &mut self.state.endpoints[at];
            target.generation += 1;
            (target.seq, target.starts) = (0, 1);
            let old = target.endpoint.id();
            let new = format!("e{at}-{}-{}", target.generation, target.service);
            target.endpoint.set_id(&new);
            (old, new)
        };
        self.store.remove("servers", &old);
        self.record_change(Change::EndpointLeaving(old.clone()));
        let now = Instant::now();
        self.shared.history().endpoint_faults.push((old, now, None));
        let listed = self.write_entry(at, "ready");
        debug_assert_eq!(listed, new, "an endpoint is listed under its identity");
    }

    // An endpoint starts again under its identity and counts its reports anew.
    pub(super) fn start_endpoint(&mut self, at: usize) {
        let target = &mut self.state.endpoints[at];
        target.starts += 1;
        target.seq = 0;
        target.endpoint.set_mode(Mode::Healthy);
        let id = self.write_entry(at, "ready");
        self.record_change(Change::EndpointReady(id));
    }

    // Writes the store entry of an endpoint and returns its identity.
    pub(super) fn write_entry(&mut self, at: usize, presence: &str) -> String {
        let target = &mut self.state.endpoints[at];
        target.seq += 1;
        let id = target.endpoint.id();
        let (service, domain, seq) = (target.service, target.domain, target.seq);
        let mut entry = target
            .endpoint
            .entry_at(target.link.addr, service, domain, presence, seq);
        let born = entry["born"].as_u64().unwrap_or_default();
        entry["born"] = json!(born + target.starts);
        self.store.put("servers", &id, &entry);
        id
    }

    pub(super) fn rotate_key(&mut self) {
        let (old, new) = {
            let old = format!("k-{}", self.state.key_number);
            self.state.key_number += 1;
            (old, format!("k-{}", self.state.key_number))
        };
        self.configure();
        self.record_change(Change::KeyWithdrawn(old));
        let mut key = self
            .shared
            .key
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *key = new;
    }

    pub(super) fn configure(&mut self) {
        self.state.version += 1;
        let moved = if self.state.moved { "s2" } else { "s1" };
        let spec = configuration(
            self.state.version,
            moved,
            &format!("k-{}", self.state.key_number),
        );
        self.store.put("config", "main", &spec);
    }
}

fn configuration(version: u64, moved: &str, key: &str) -> Value {
    let timeout = ROUTE_TIMEOUT.as_millis() as u64;
    let row = |name: &str, kind: &str, service: &str| {
        let path = format!("/{name}/");
        json!([
            name,
            node::HOST,
            path,
            kind,
            timeout,
            600,
            2,
            3,
            false,
            true,
            service
        ])
    };
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [row("read", "safe", "s1"), row("write", "unsafe", "s2"),
                row("moved", "safe", moved), row("limited", "safe", "s1")],
        },
        "services": {
            "columns": ["name", "cold_start_s", "cold_per_s"],
            "rows": [["s1", 1.0, 50.0], ["s2", 1.0, 50.0]],
        },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "tenants": {
            "columns": ["name", "api_keys", "rate_per_s", "burst"],
            "rows": [["t1", [UNLIMITED_KEY, key], 0, 0], [LIMITED_ACCOUNT, [LIMITED_KEY], LIMITED_RATE_PER_S, LIMITED_BURST]],
        },
    })
}
