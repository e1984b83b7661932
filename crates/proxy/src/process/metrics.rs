//! Metrics sent over UDP to a statsd server: increments of the counters since the last report, and
//! gauges of the control state.

use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use skylark_core::FastMap;
use skylark_settings::proxy::ProxySettings;

use crate::process::counters::Counters;

/// Gauges of the control state.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ControlGauges {
    /// The revision in force.
    pub revision: u64,
    /// The number of groups whose members are tracked.
    pub tracked_groups: u64,
    /// The number of tracked groups without a known primary.
    pub leaderless_groups: u64,
    /// The number of tracked groups whose writes are refused because a majority can't confirm them.
    pub stalled_groups: u64,
    /// The number of members of tracked groups that can't be reached.
    pub unreachable_members: u64,
    /// 1 while the platform answers, otherwise 0.
    pub platform_answers: u64,
}

impl ControlGauges {
    /// Returns the gauges with their metric names.
    pub fn by_name(&self) -> [(&'static str, u64); 6] {
        [
            ("control.revision", self.revision),
            ("control.tracked_groups", self.tracked_groups),
            ("control.leaderless_groups", self.leaderless_groups),
            ("control.stalled_groups", self.stalled_groups),
            ("control.unreachable_members", self.unreachable_members),
            ("control.platform_answers", self.platform_answers),
        ]
    }
}

/// A statsd client, and the counter values that it has already sent.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sent: FastMap<String, u64>,
}

impl Metrics {
    /// Opens a client of the server in the settings. Returns `None` if the settings name no server, or
    /// if no socket can be opened: a proxy without metrics is better than none.
    pub fn open(settings: &ProxySettings, log: &slog::Logger) -> Option<Metrics> {
        let address = settings.metrics.statsd_address?;
        let bind_address = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let opened = UdpSocket::bind(bind_address).and_then(|socket| {
            socket.set_nonblocking(true)?;
            Ok(socket)
        });
        let sink = opened.map_err(|error| error.to_string()).and_then(|socket| {
            UdpMetricSink::from(address, socket).map_err(|error| error.to_string())
        });
        match sink {
            Ok(sink) => {
                let prefix = &settings.metrics.prefix;
                let client = StatsdClient::builder(prefix, sink)
                    .with_tag("vm", &settings.vm)
                    .with_tag("zone", &settings.zone)
                    .build();
                Some(Metrics { client, sent: FastMap::default() })
            }
            Err(reason) => {
                slog::error!(log, "metrics are disabled: the statsd socket could not be opened";
                    "reason" => reason);
                None
            }
        }
    }

    /// Sends the gauges.
    pub fn send_gauges(&self, gauges: &ControlGauges) {
        for (name, value) in gauges.by_name() {
            let _ = self.client.gauge_with_tags(name, value).try_send();
        }
    }

    /// Sends the increment of each counter since the last call.
    pub fn send_counters(&mut self, counters: &Counters) {
        for (name, value) in counters.snapshot() {
            let sent = self.sent.get(&name).copied().unwrap_or(0);
            let increase = value.saturating_sub(sent);
            if increase > 0 {
                // UDP loses datagrams anyway, so a failure to send one is ignored.
                let _ = self.client.count_with_tags(&name, increase as i64).try_send();
                self.sent.insert(name, value);
            }
        }
    }
}
