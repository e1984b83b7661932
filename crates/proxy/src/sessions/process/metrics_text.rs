//! Exports counters and gauges as text for the metrics address.

use std::fmt::Write;
use std::sync::atomic::Ordering;

use crate::process::counters::counted;
use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::targets::AdmissionRole;
use crate::sessions::process::targets::TargetState;

counted! {
    /// Metrics that are exported besides the counters.
    Metric {
        /// The version of the configuration in force.
        ConfigurationVersion = "skylark_configuration_version",
        /// Open sessions of callers.
        Sessions = "skylark_sessions",
        /// Whether this VM reports to the balancer that it accepts callers.
        Ready = "skylark_ready",
        /// VMs that subscribe to this VM's feed.
        FeedSubscribers = "skylark_feed_subscribers",
        /// Whether this VM gets the store's state from another VM.
        FeedFollowed = "skylark_feed_told",
        /// Targets that this VM connects to directly.
        TargetsConnected = "skylark_targets_connected",
        /// Targets that this VM connects to directly or that its callers used lately.
        TargetsActive = "skylark_targets_active",
        /// Age of the newest known position of a service's primary, in milliseconds.
        PrimaryPositionAge = "skylark_primary_position_age_ms",
        /// Statements that took at most the bound in milliseconds, by stage and class.
        StatementTimes = "skylark_statement_ms_bucket",
        /// Statements by stage and class.
        StatementCount = "skylark_statement_ms_count",
        /// Average time of a target's answers, in microseconds.
        TargetUsualAnswer = "skylark_target_usual_answer_us",
        /// Connections to a target, or to the VMs that relay statements to it.
        TargetConnections = "skylark_target_connections",
        /// What this VM does for a target whose admission is shared: 0 forwards, 1 standby, 2 admits.
        AdmissionRole = "skylark_admission_role",
        /// Statements of a class that run at a target that this VM admits to.
        AdmissionRunning = "skylark_admission_running",
        /// Requests of a class that wait for admission.
        AdmissionWaiting = "skylark_admission_waiting",
        /// Requests of a class that were not admitted.
        AdmissionRefused = "skylark_admission_refused",
        /// The time that a new request of a class is expected to wait, in microseconds.
        AdmissionPredictedWait = "skylark_admission_predicted_wait_us",
        /// An organisation's limit over all VMs, in thousandths of an operation a second.
        OrganisationLimit = "skylark_organisation_limit_milli_per_s",
        /// Operations that this VM granted of an organisation's limit.
        OrganisationGranted = "skylark_organisation_granted",
        /// Operations of an organisation that this VM did not grant.
        OrganisationDenied = "skylark_organisation_turned_away",
    }
}

/// Renders all counters and gauges, one line each.
pub fn render<C>(gateway: &Gateway<C>) -> String
where
    C: Codec,
{
    let mut out = String::new();
    for (name, value) in gateway.counters.snapshot() {
        line(&mut out, &format!("skylark_{}", name.replace('.', "_")), "", value);
    }
    render_process(gateway, &mut out);
    gateway.latencies.render(&mut out);
    render_targets(gateway, &mut out);
    render_organisations(gateway, &mut out);
    out
}

fn render_process<C>(gateway: &Gateway<C>, out: &mut String)
where
    C: Codec,
{
    let view = gateway.view();
    let version = view.routes.as_ref().map_or(0, |routes| routes.version);
    let subscribers = gateway.outbox.feed_state.receiver_count() as u64;
    let sessions = u64::from(gateway.sessions.load(Ordering::Relaxed));
    line(out, Metric::ConfigurationVersion.name(), "", version);
    line(out, Metric::Sessions.name(), "", sessions);
    line(out, Metric::Ready.name(), "", u64::from(gateway.is_ready()));
    line(out, Metric::FeedSubscribers.name(), "", subscribers);
    line(out, Metric::FeedFollowed.name(), "", u64::from(gateway.has_feed()));
    let now_us = gateway.clock.now_us();
    for service in view.services.keys() {
        let state = gateway.service(service);
        let newest = state.positions.lock().newest();
        if let Some(newest) = newest {
            let age_ms = now_us.saturating_sub(newest.taken_us) / 1_000;
            let labels = format!("{{service=\"{service}\"}}");
            line(out, Metric::PrimaryPositionAge.name(), &labels, age_ms);
        }
    }
}

/// Appends the state of the active targets. A large fleet has thousands of others, of which this VM knows
/// nothing.
fn render_targets<C>(gateway: &Gateway<C>, out: &mut String)
where
    C: Codec,
{
    let active = gateway.active_targets.all();
    let connected = active.iter().filter(|target| target.is_direct()).count();
    line(out, Metric::TargetsConnected.name(), "", connected as u64);
    line(out, Metric::TargetsActive.name(), "", active.len() as u64);
    for target in active {
        let health = target.health();
        let pairs =
            format!("service=\"{}\",target=\"{}\"", target.record.service, target.record.id);
        let labels = format!("{{{pairs}}}");
        line(out, Metric::TargetUsualAnswer.name(), &labels, health.average_answer_us);
        line(out, Metric::TargetConnections.name(), &labels, u64::from(target.connections()));
        render_admission(&target, &pairs, out);
    }
}

/// Appends what this VM does for the admission to a target, and the state of its queue if it admits. Nothing is
/// shown for a target whose admission is not shared. `pairs` are the labels of the target without braces.
fn render_admission<C>(target: &TargetState<C>, pairs: &str, out: &mut String)
where
    C: Codec,
{
    let Some(role) = target.admission_role() else { return };
    let level = match role {
        AdmissionRole::Forwards => 0,
        AdmissionRole::Standby => 1,
        AdmissionRole::Admits => 2,
    };
    line(out, Metric::AdmissionRole.name(), &format!("{{{pairs}}}"), level);
    if role != AdmissionRole::Admits {
        return;
    }
    for (class, state) in target.queue.by_class().iter().enumerate() {
        let labels = format!("{{{pairs},class=\"{class}\"}}");
        line(out, Metric::AdmissionRunning.name(), &labels, u64::from(state.running));
        line(out, Metric::AdmissionWaiting.name(), &labels, state.waiting as u64);
        line(out, Metric::AdmissionRefused.name(), &labels, state.refused);
        line(out, Metric::AdmissionPredictedWait.name(), &labels, state.predicted_wait_us);
    }
}

/// Appends what this VM granted of the limits of organisations. The sum over all VMs is an organisation's
/// usage.
fn render_organisations<C>(gateway: &Gateway<C>, out: &mut String)
where
    C: Codec,
{
    for (organisation, usage) in gateway.quotas.usage() {
        let labels = format!("{{organisation=\"{organisation}\"}}");
        line(out, Metric::OrganisationLimit.name(), &labels, usage.limit_milli_per_s);
        line(out, Metric::OrganisationGranted.name(), &labels, usage.granted);
        line(out, Metric::OrganisationDenied.name(), &labels, usage.denied);
    }
}

/// Appends one metric. `labels` is empty or includes its braces.
pub fn line(out: &mut String, name: &str, labels: &str, value: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{name}{labels} {value}");
}
