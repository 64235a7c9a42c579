//! OpenTelemetry metrics, exported as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Error of creating [`Metrics`].
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The Prometheus exporter can't be created or registered.
    #[snafu(display("can't set up the metrics exporter: {source}"))]
    Exporter {
        /// Error of the OpenTelemetry SDK.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// Metrics of one process. Clones share the same instruments and values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    events: Counter<u64>,
}

impl Metrics {
    /// Creates a registry with the counter of events and no values.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`] if the exporter can't be created or registered.
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

    /// Increments the counter of events for this number and name.
    pub fn count_event(&self, number: u16, name: &'static str) {
        let labels = [
            KeyValue::new("number", i64::from(number)),
            KeyValue::new("name", name),
        ];
        self.events.add(1, &labels);
    }

    /// Returns a meter whose instruments are included in [`Self::render`].
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("eelgrasshold")
    }

    /// Registers a gauge whose value is read whenever the metrics are rendered.
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

    /// Registers a counter whose value is read when metrics are scraped.
    pub fn register_counter(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let meter = self.meter();
        // The provider keeps the instrument alive.
        let _ = meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Returns all metrics in the Prometheus text format. If encoding fails, the error is logged
    /// and the text may be truncated.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("can't encode the metrics: {error}");
        }
        text
    }

    /// Shuts the meter provider down; values recorded later are discarded.
    pub fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("can't shut down the meter provider: {error}");
        }
    }
}
