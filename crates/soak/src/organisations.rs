//! Organisations whose keys are replaced and whose limits change during a run, and the checks of both.
//!
//! - Each statement runs under the name of the organisation whose key its caller used.
//! - An organisation with a limit runs at most as many operations in any window as the highest limit of the
//!   run allows.
//! - Every proxy refuses a withdrawn key after the deployment has recovered from the faults.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use skylark_core::process::quota::QuotaTolerance;
use skylark_core::version::routes::RouteTable;
use skylark_platform::objects::TenantBody;
use skylark_standin::typed::group::Run;
use skylark_standin::typed::platform::Platform;
use tokio::time;

use crate::callers;

/// The number of organisations. Callers are assigned to them round-robin.
const ORGANISATIONS: usize = 3;

/// The limits that organisation 1 has alternately, in operations per second.
const CHANGING_LIMITS: [f64; 2] = [40.0, 15.0];

/// The limit of organisation 0, in operations per second. Organisation 2 has no limit.
const FIXED_LIMIT: f64 = 20.0;

/// The burst that each limit allows, in operations.
const BURST: f64 = 10.0;

/// The tolerance of the limits: the window of the check, and the excess and slack that it allows.
pub const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window_ms: 5_000, excess_milli: 100, slack: 20 };

/// The time after the end of the faults within which every proxy has to refuse withdrawn keys.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The pause between two attempts to use a withdrawn key.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The organisations of one run, and the changes to their keys and limits.
#[derive(Debug)]
pub struct Organisations {
    platform: Arc<Platform>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: RouteTable,
    /// The number of replacements of each organisation's key.
    key_replacements: [u32; ORGANISATIONS],
    withdrawn: Vec<String>,
    /// The number of changes of the changing limit.
    limit_changes: usize,
}

impl Organisations {
    /// Configures the platform with a route table and the organisations.
    pub fn start(platform: &Arc<Platform>, table: RouteTable) -> Organisations {
        let state = State {
            table,
            key_replacements: [0; ORGANISATIONS],
            withdrawn: Vec::new(),
            limit_changes: 0,
        };
        let organisations =
            Organisations { platform: Arc::clone(platform), state: Mutex::new(state) };
        organisations.publish(&mut organisations.state.lock());
        organisations
    }

    /// Returns the current key of a caller's organisation.
    pub fn key_of(&self, caller: usize) -> String {
        let organisation = caller % ORGANISATIONS;
        api_key(organisation, self.state.lock().key_replacements[organisation])
    }

    /// Withdraws the key of one organisation and gives it a new one.
    pub fn replace_key(&self, choice: usize) {
        let mut state = self.state.lock();
        let organisation = choice % ORGANISATIONS;
        let withdrawn = api_key(organisation, state.key_replacements[organisation]);
        state.withdrawn.push(withdrawn);
        state.key_replacements[organisation] += 1;
        self.publish(&mut state);
    }

    /// Switches the changing limit to its other value.
    pub fn change_limit(&self) {
        let mut state = self.state.lock();
        state.limit_changes += 1;
        self.publish(&mut state);
    }

    fn publish(&self, state: &mut State) {
        state.table.version += 1;
        let bodies: Vec<TenantBody> = (0..ORGANISATIONS)
            .map(|organisation| {
                let rate_per_s = match organisation {
                    0 => Some(FIXED_LIMIT),
                    1 => Some(CHANGING_LIMITS[state.limit_changes % CHANGING_LIMITS.len()]),
                    _ => None,
                };
                TenantBody {
                    name: organisation_name(organisation),
                    api_keys: vec![api_key(organisation, state.key_replacements[organisation])],
                    rate_per_s,
                    burst: rate_per_s.map(|_| BURST),
                }
            })
            .collect();
        self.platform.configure(&state.table, Some(&bodies));
    }

    /// Checks that each proxy refuses each withdrawn key within `RECOVERY_LIMIT`. Returns the violations.
    pub async fn withdrawn_keys_are_refused(&self, proxies: &[SocketAddr]) -> Vec<String> {
        let withdrawn = self.state.lock().withdrawn.clone();
        let deadline = Instant::now() + RECOVERY_LIMIT;
        let mut violations = Vec::new();
        for proxy in proxies {
            for key in &withdrawn {
                while !callers::is_denied(*proxy, key).await {
                    if Instant::now() >= deadline {
                        violations.push(format!("withdrawn: {proxy} serves {key}"));
                        break;
                    }
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        violations
    }
}

/// Returns the violations in the statements that targets ran: statements under another organisation's name,
/// and windows with more operations than the limits allow.
pub fn violations(runs: &[Run]) -> Vec<String> {
    let caller_runs: Vec<(usize, &Run)> =
        runs.iter().filter_map(|run| Some((caller_number(&run.id)?, run))).collect();
    let crossed = caller_runs
        .iter()
        .filter(|(caller, run)| run.user != organisation_name(caller % ORGANISATIONS));
    let mut violations: Vec<String> =
        crossed.map(|(_, run)| format!("crossed: {} ran as {}", run.id, run.user)).collect();
    let highest = CHANGING_LIMITS.into_iter().fold(0.0, f64::max);
    for (organisation, rate_per_s) in [(0, FIXED_LIMIT), (1, highest)] {
        let user = organisation_name(organisation);
        let user_runs = caller_runs.iter().filter(|(_, run)| run.user == user);
        violations.extend(limit_violation(&user, user_runs.map(|(_, run)| *run), rate_per_s));
    }
    violations
}

/// Returns a violation if the window with the most operations has more than a limit allows.
fn limit_violation<'a, R>(user: &str, runs: R, rate_per_s: f64) -> Option<String>
where
    R: Iterator<Item = &'a Run>,
{
    // An operation is counted at its first statement, because a transaction has several.
    let mut seen = BTreeSet::new();
    let mut starts: Vec<Instant> =
        runs.filter(|run| seen.insert(run.id.as_str())).map(|run| run.at).collect();
    starts.sort_unstable();
    let window = Duration::from_millis(TOLERANCE.window_ms);
    let in_window = rate_per_s * window.as_secs_f64() + BURST;
    let allowed = in_window * (1.0 + TOLERANCE.excess_milli as f64 / 1e3) + TOLERANCE.slack as f64;
    let mut recent: VecDeque<Instant> = VecDeque::new();
    let mut most = 0;
    for start in starts {
        while recent.front().is_some_and(|first| start - *first >= window) {
            recent.pop_front();
        }
        recent.push_back(start);
        most = most.max(recent.len());
    }
    (most as f64 > allowed)
        .then(|| format!("limit: {user} ran {most} in a window, {allowed} allowed"))
}

/// Returns the number of the caller that chose a statement's id. An id is a letter, the caller's number, `x`
/// and a sequence number.
fn caller_number(id: &str) -> Option<usize> {
    id.get(1..)?.split_once('x')?.0.parse().ok()
}

fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

fn api_key(organisation: usize, replacements: u32) -> String {
    format!("key-{organisation}-{replacements}")
}
