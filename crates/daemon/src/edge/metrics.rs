//! The metrics duty: turns the notes of the decision core into metrics.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_channel::Receiver;
use corianderway_steer::Note;
use opentelemetry::metrics::AsyncInstrument;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::edge::body_memory::BodyMemory;
use crate::edge::decisions::SharedState;
use crate::metrics;
use crate::metrics::Scrape;

/// The delay after each batch of samples, so that one wake-up records many.
const BATCH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

/// The keys of notes that become labels; the configuration bounds the number of
/// their values.
const LABELS: [&str; 8] = [
    "route", "service", "account", "reason", "status", "from", "to", "fault",
];

/// The instruments of one process.
#[derive(Debug)]
pub struct Instruments {
    // Kept alive, since the instruments record nothing once it is dropped.
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    held: Histogram<f64>,
    attempts: Histogram<f64>,
}

impl Instruments {
    /// Creates the instruments, and the handle that exports them as text. The gauges show
    /// what the process holds.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be created.
    pub fn new(shared: &SharedState, bodies: &BodyMemory) -> Result<(Self, Scrape), OTelSdkError> {
        let (provider, scrape) = metrics::provider()?;
        let meter = provider.meter("corianderway");
        let gauge = |name: &'static str, held: &Arc<AtomicUsize>| {
            let held = Arc::clone(held);
            let observe = move |observer: &dyn AsyncInstrument<u64>| {
                observer.observe(held.load(Ordering::Acquire) as u64, &[]);
            };
            meter
                .u64_observable_gauge(name)
                .with_callback(observe)
                .build();
        };
        gauge("corianderway_held_requests", &shared.held);
        gauge("corianderway_waiting_requests", &shared.waiting);
        gauge("corianderway_pipelined_requests", &shared.behind);
        gauge("corianderway_caller_connections", &shared.connections);
        let token = Arc::clone(&shared.duty_token);
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            observer.observe(token.load(Ordering::Acquire), &[]);
        };
        meter
            .u64_observable_gauge("corianderway_duty_token")
            .with_callback(observe)
            .build();
        gauge("corianderway_body_bytes", bodies.reserved());
        let latency = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(description);
            histogram
                .with_boundaries(metrics::LATENCY_BOUNDS.to_vec())
                .build()
        };
        let instruments = Self {
            events: meter.u64_counter("corianderway_events").build(),
            held: latency("corianderway_held_seconds", "Time to the final answer"),
            attempts: latency("corianderway_attempt_seconds", "Time of one attempt"),
            _provider: provider,
        };
        Ok((instruments, scrape))
    }

    fn record(&self, note: &Note) {
        let mut labels = vec![KeyValue::new("event", note.event)];
        for (name, value) in &note.fields {
            match *name {
                "held_ms" => self.held.record(seconds(value), &[]),
                "took_ms" => self.attempts.record(seconds(value), &[]),
                name if LABELS.contains(&name) => labels.push(KeyValue::new(name, value.clone())),
                _ => (),
            }
        }
        self.events.add(1, &labels);
    }
}

/// Records samples until every sender has been dropped.
pub fn run(samples: &Receiver<Note>, instruments: &Instruments) {
    while let Ok(note) = samples.recv_blocking() {
        instruments.record(&note);
        while let Ok(note) = samples.try_recv() {
            instruments.record(&note);
        }
        std::thread::sleep(BATCH_INTERVAL);
    }
}

fn seconds(millis: &str) -> f64 {
    // The decision core writes whole milliseconds here.
    millis.parse::<f64>().map_or(0.0, |millis| millis / 1_000.0)
}
