//! Metrics through opentelemetry, as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Why metrics can't be served.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter can't be set up.
    #[snafu(display("can't set up the metrics exporter: {source}"))]
    Exporter {
        /// Cause.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// Metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    events: Counter<u64>,
}

impl Metrics {
    /// Metrics of a process, without values yet.
    ///
    /// # Errors
    ///
    /// If the exporter can't be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(ExporterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let events = provider
            .meter("eelgrasshold")
            .u64_counter("eelgrasshold_events")
            .with_description("Numbered events, by number and name")
            .build();
        Ok(Self {
            registry,
            provider,
            events,
        })
    }

    /// Counts an event.
    pub fn count_event(&self, number: u16, name: &'static str) {
        let labels = [
            KeyValue::new("number", i64::from(number)),
            KeyValue::new("name", name),
        ];
        self.events.add(1, &labels);
    }

    /// Makes instruments whose values are shown with the others.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("eelgrasshold")
    }

    /// Adds a value that is read when the metrics are scraped.
    pub fn register_gauge(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let meter = self.meter();
        // The provider keeps the instrument alive.
        let _ = meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// All values as Prometheus text.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("can't encode the metrics: {error}");
        }
        text
    }

    /// Ends the collection of metrics.
    pub fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("the metrics did not end in order: {error}");
        }
    }
}
