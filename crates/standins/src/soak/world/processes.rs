//! The instances' processes: starts, planned stops and kills.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::estate::Node;
use crate::harness::until;
use crate::harness::Error;
use crate::soak::guarantees::SCHEDULING_SLACK;
use crate::soak::plan::DOMAINS;
use crate::soak::world::Recovery;
use crate::soak::world::World;

/// The time after which a process that ignores a planned stop is killed, slightly longer
/// than its grace period.
const KILL_DELAY: Duration = Duration::from_millis(4_500);

impl World {
    /// Ends every process, as planned where that is possible. Endpoints go on.
    pub(in crate::soak) fn end(&mut self) {
        let nodes = self
            .state
            .hosts
            .iter_mut()
            .filter_map(|host| host.node.as_mut());
        for node in nodes {
            // A process that can't be asked to stop is killed below.
            drop(
                node.process
                    .resume()
                    .and_then(|()| node.process.terminate()),
            );
        }
        let ended = until("the end of every process", KILL_DELAY, || {
            let mut nodes = self
                .state
                .hosts
                .iter_mut()
                .filter_map(|host| host.node.as_mut());
            nodes
                .all(|node| matches!(node.process.exit_status(), Ok(Some(_))))
                .then_some(())
        });
        if ended.is_err() {
            for host in &mut self.state.hosts {
                drop(host.node.as_mut().map(|node| node.process.kill()));
            }
        }
    }

    // Collects the processes that ended after a planned stop, and kills overdue ones.
    pub(super) fn collect_stopped(&mut self, now: Instant) {
        let count = self.state.hosts.len();
        for at in 0..count {
            let host = &mut self.state.hosts[at];
            let (Some(since), Some(node)) = (host.stopping, host.node.as_mut()) else {
                continue;
            };
            let ended = matches!(node.process.exit_status(), Ok(Some(_)));
            let forced = !ended && now - since >= KILL_DELAY;
            if forced {
                drop(node.process.kill());
            }
            if ended || forced {
                let node = host.node.take();
                host.stopping = None;
                self.state
                    .logs
                    .extend(node.map(|n| (n.site.name.clone(), n.process.lines())));

                self.end_disturbances(at, now);
                if forced {
                    self.record_disturbance(at, since, Some(now), false);
                }
                // The time until the restart is not part of the planned stop.
                self.record_disturbance(at, now, None, false);
            }
        }
    }

    pub(super) fn kill(&mut self, at: usize, back: Instant) {
        let host = &mut self.state.hosts[at];
        if host.stopping.is_some() {
            return;
        }
        let Some(mut node) = host.node.take() else {
            return;
        };
        drop(node.process.kill());
        self.state
            .logs
            .push((node.site.name.clone(), node.process.lines()));

        self.record_disturbance(at, Instant::now(), None, false);
        self.schedule(back, Recovery::Start(at));
    }

    pub(super) fn stop(&mut self, at: usize, span: Duration) {
        let now = Instant::now();
        {
            let host = &mut self.state.hosts[at];
            let Some(node) = host.node.as_mut().filter(|_| host.stopping.is_none()) else {
                return;
            };
            if node.process.terminate().is_err() {
                return;
            }
            host.stopping = Some(now);
        }
        self.record_disturbance(at, now, None, true);
        self.schedule(now + KILL_DELAY + span, Recovery::Start(at));
    }

    pub(super) fn start_node(&mut self, at: usize) -> Result<(), Error> {
        let site = self.state.hosts[at].site.clone();
        self.shared.runs[at].fetch_add(1, Ordering::AcqRel);
        let node = Node::start(site, &DOMAINS, &self.dir)?;
        self.state.hosts[at].node = Some(node);
        self.state.hosts[at].suspended = None;
        let now = Instant::now();
        self.end_disturbances(at, now);
        self.record_disturbance(at, now, Some(now), false);
        Ok(())
    }

    // Suspends an instance and reports whether it could.
    pub(super) fn suspend(&mut self, at: usize) -> bool {
        let suspended = self.with_node(at, |node| node.process.suspend().is_ok());
        if suspended {
            let since = &mut self.state.hosts[at].suspended;
            since.get_or_insert_with(Instant::now);
        }
        suspended
    }

    // Resumes an instance. What was to be a short pause is a disturbance if it became
    // longer, since this thread or the machine was late.
    pub(super) fn resume(&mut self, at: usize) {
        self.with_node(at, |node| node.process.resume().is_ok());
        let now = Instant::now();
        let since = self.state.hosts[at].suspended.take();
        if let Some(since) = since.filter(|since| now - *since > SCHEDULING_SLACK) {
            self.record_disturbance(at, since, Some(now), false);
        }
    }

    pub(super) fn with_node(&mut self, at: usize, act: impl FnOnce(&mut Node) -> bool) -> bool {
        self.state.hosts[at].node.as_mut().is_some_and(act)
    }
}
