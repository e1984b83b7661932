//! Counters and beliefs as text for the metrics address.

use std::fmt::Write;
use std::sync::atomic::Ordering;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;

/// All counters and gauges, a line each.
pub fn render<C>(gateway: &Gateway<C>) -> String
where
    C: Codec,
{
    let mut out = String::new();
    for (name, value) in gateway.counters.snapshot() {
        line(&mut out, &name.replace('.', "_"), "", value);
    }
    let view = gateway.view();
    let version = view.routes.as_ref().map_or(0, |routes| routes.version);
    line(&mut out, "configuration_version", "", version);
    line(&mut out, "sessions", "", u64::from(gateway.sessions.load(Ordering::Relaxed)));
    line(&mut out, "ready", "", u64::from(gateway.is_ready()));
    line(&mut out, "feed_subscribers", "", gateway.outbox.bulletin.receiver_count() as u64);
    line(&mut out, "feed_told", "", u64::from(gateway.is_told()));
    let now_us = gateway.clock.now_us();
    for service in view.services.keys() {
        let state = gateway.service(service);
        let newest = state.positions.lock().newest();
        let age_ms = newest.map(|newest| now_us.saturating_sub(newest.taken_us) / 1_000);
        let labels = format!("{{service=\"{service}\"}}");
        if let Some(age_ms) = age_ms {
            line(&mut out, "primary_position_age_ms", &labels, age_ms);
        }
    }
    gateway.latencies.render(&mut out);
    for target in gateway.targets().all() {
        let health = target.health();
        let labels =
            format!("{{service=\"{}\",target=\"{}\"}}", target.record.service, target.record.id);
        line(&mut out, "target_usual_answer_us", &labels, health.usual_us);
        line(&mut out, "target_connections", &labels, u64::from(target.connections()));
    }
    out
}

fn line(out: &mut String, name: &str, labels: &str, value: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "skylark_{name}{labels} {value}");
}
