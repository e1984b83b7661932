//! Organisations whose keys are withdrawn and whose limits change, and what must hold for them.
//!
//! - Each statement runs under the name of the organisation whose key its caller used.
//! - An organisation with a limit runs no more in any window than the highest limit of the run allows.
//! - A key that was withdrawn is refused by every proxy once the deployment has healed.

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

/// How many organisations there are. Callers belong to them in turn.
const ORGANISATIONS: usize = 3;

/// The limits that an organisation has in turn, in operations a second; the first one of all never changes, the last
/// one has none.
const CHANGING_LIMITS: [f64; 2] = [40.0, 15.0];
const FIXED_LIMIT: f64 = 20.0;

/// The burst of each limit, in operations.
const BURST: f64 = 10.0;

/// What the limits tolerate.
pub const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window_ms: 5_000, excess_milli: 100, slack: 20 };

/// How long a healed deployment has until a withdrawn key is refused everywhere.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The pause between two tries of a withdrawn key.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The organisations of one run, as an operator changes them.
#[derive(Debug)]
pub struct Organisations {
    platform: Arc<Platform>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: RouteTable,
    /// How often each organisation's key was replaced.
    key_replacements: [u32; ORGANISATIONS],
    withdrawn: Vec<String>,
    /// How often the changing limit changed.
    limit_changes: usize,
}

impl Organisations {
    /// Puts organisations in force beside what a table says.
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

    /// The key that a caller of this number uses now.
    pub fn key_of(&self, caller: usize) -> String {
        let organisation = caller % ORGANISATIONS;
        api_key(organisation, self.state.lock().key_replacements[organisation])
    }

    /// Withdraws the key of one organisation and gives it another one.
    pub fn replace_key(&self, choice: usize) {
        let mut state = self.state.lock();
        let organisation = choice % ORGANISATIONS;
        let withdrawn = api_key(organisation, state.key_replacements[organisation]);
        state.withdrawn.push(withdrawn);
        state.key_replacements[organisation] += 1;
        self.publish(&mut state);
    }

    /// Lowers or raises the limit that changes.
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

    /// Whether each proxy refuses each withdrawn key in the end.
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

/// Statements that ran under another organisation's name, and windows with more operations than limits allow.
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

/// The window with the most operations, if these are more than a limit allows.
fn limit_violation<'a, R>(user: &str, runs: R, rate_per_s: f64) -> Option<String>
where
    R: Iterator<Item = &'a Run>,
{
    // An operation counts where it is seen first: a transaction has several statements.
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

/// The number of the caller that gave a statement its id: a letter, the number, and `x` with a count.
fn caller_number(id: &str) -> Option<usize> {
    id.get(1..)?.split_once('x')?.0.parse().ok()
}

fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

fn api_key(organisation: usize, replacements: u32) -> String {
    format!("key-{organisation}-{replacements}")
}
