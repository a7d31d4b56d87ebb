//! The metrics duty: counts records of the node in OpenTelemetry instruments.

use async_channel::Receiver;
use corianderway_node::Record;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder as _;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets, in seconds.
pub const LATENCY_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0,
];

/// The instruments of one process.
#[derive(Debug)]
pub struct Instruments {
    // Held, since the instruments record nothing once the provider is dropped.
    _provider: SdkMeterProvider,
    routed: Counter<u64>,
    refused: Counter<u64>,
    latency: Histogram<f64>,
}

/// The registry from which the metrics are scraped.
#[derive(Clone, Debug)]
pub struct Scrape(Registry);

impl Instruments {
    /// Creates the instruments and their scrape registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be created.
    pub fn new() -> Result<(Self, Scrape), opentelemetry_sdk::error::OTelSdkError> {
        let (provider, scrape) = provider()?;
        let meter = provider.meter("corianderway");
        let latency = meter
            .f64_histogram("corianderway_latency_seconds")
            .with_description("Time from the decision to the head of the answer")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        let instruments = Self {
            _provider: provider.clone(),
            routed: meter.u64_counter("corianderway_routed").build(),
            refused: meter.u64_counter("corianderway_refused").build(),
            latency,
        };
        Ok((instruments, scrape))
    }

    // Label values come only from contracts and the instance list, so their number
    // is bounded by the configuration.
    fn record(&self, record: &Record) {
        let labels: Vec<KeyValue> = record
            .labels()
            .into_iter()
            .map(|(name, value)| KeyValue::new(name, value))
            .collect();
        match record {
            Record::Routed { .. } => self.routed.add(1, &labels),
            Record::Refused { .. } => self.refused.add(1, &labels),
            Record::Answered { took, .. } => self.latency.record(took.as_secs_f64(), &labels),
            Record::Failed { .. }
            | Record::Server { .. }
            | Record::Config { .. }
            | Record::Peer { .. }
            | Record::Other { .. } => (),
        }
    }
}

impl Scrape {
    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to memory can't fail.
        drop(TextEncoder::new().encode(&self.0.gather(), &mut out));
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Creates a provider of instruments and its scrape registry.
///
/// # Errors
///
/// Returns an error if the exporter can't be created.
pub fn provider() -> Result<(SdkMeterProvider, Scrape), opentelemetry_sdk::error::OTelSdkError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((provider, Scrape(registry)))
}

/// Records samples until every sender is closed.
pub fn run(samples: Receiver<Record>, instruments: Instruments) {
    while let Ok(record) = samples.recv_blocking() {
        instruments.record(&record);
    }
}
