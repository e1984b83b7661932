//! Stock clients against a stand-in target: what they record passes the checker.
//!
//! The clients go straight to a primary, which is the whole truth, so that a mistake of the clients
//! or of the checker shows as a violation here and is not blamed on a proxy later.

use std::time::Duration;

use skylark_bench::history::checker;
use skylark_bench::history::record::Ending;
use skylark_bench::load::arrivals::Phase;
use skylark_bench::load::clock::Clock;
use skylark_bench::load::mix::Action;
use skylark_bench::load::mix::OperationSpec;
use skylark_bench::load::run;
use skylark_bench::load::run::RunPlan;
use skylark_bench::load::session::Roaming;
use skylark_core::log_position::Term;
use skylark_core::request::error_kind::Outcome;
use skylark_standin::network::Network;
use skylark_standin::target::options::TargetOptions;
use skylark_standin::target::server::TargetServer;

const GROUP: &str = "loans-1";

fn operation(name: &str, action: Action, weight: u32) -> OperationSpec {
    let (class, read_kind) = (String::new(), String::new());
    OperationSpec { name: name.to_owned(), action, class, read_kind, weight, surge_weight: None }
}

fn plan(target: &TargetServer) -> RunPlan {
    RunPlan {
        seed: 11,
        phases: vec![Phase { for_ms: 1_000, per_s: 400.0, surge: false, even: false }],
        mix: vec![
            operation("write", Action::Write, 2),
            operation("transaction", Action::Transaction, 1),
            operation("read", Action::Read, 3),
        ],
        groups: vec![GROUP.to_owned()],
        entries: vec![target.address()],
        first_session: 0,
        sessions_per_group: 16,
        roaming: vec![Roaming::Stay],
        roam_every: 1,
        limit_ms: 5_000,
    }
}

async fn primary() -> TargetServer {
    let options = TargetOptions::new("loans-1-medina", GROUP, "sfax-medina");
    let server = TargetServer::start(options, &Network::new()).await.expect("loopback has a port");
    server.target().raise_term(Term(1), "test");
    server.target().promote(Term(1), "test");
    server
}

fn block_on<F>(future: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(future);
}

#[test]
fn history_of_a_single_primary_is_consistent() {
    block_on(async {
        let server = primary().await;
        let plan = plan(&server);
        run::prepare(&plan).await.expect("the primary takes the table");
        let records = run::offer(&plan, Clock::start()).await;
        let rows = run::final_rows(&plan).await.expect("the primary shows the rows");
        let verdict = checker::check(&records, &rows);
        assert_eq!(verdict.violations, []);
        assert!(verdict.operations > 300, "{verdict}");
        assert_eq!(verdict.acknowledged, verdict.positioned);
        assert_eq!(verdict.acknowledged + verdict.reads, verdict.operations, "{verdict}");
        assert!(verdict.reads_after_write > 50, "{verdict}");
    });
}

/// Starts the target again. Its port may be taken for a moment: it is one of those that the system
/// gives to outgoing connections, also of other programs.
async fn restart(server: &TargetServer) {
    for _ in 0..200 {
        if server.restart().await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the port stays taken");
}

/// The primary is killed in the middle. Callers see broken connections and refused ones; whatever
/// they were told holds against the rows that are there after its restart.
#[test]
fn history_over_a_crash_is_consistent() {
    block_on(async {
        let server = primary().await;
        let plan = plan(&server);
        run::prepare(&plan).await.expect("the primary takes the table");
        let crash = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            server.kill();
            tokio::time::sleep(Duration::from_millis(200)).await;
            restart(&server).await;
        };
        let (records, ()) = tokio::join!(run::offer(&plan, Clock::start()), crash);
        let rows = run::final_rows(&plan).await.expect("the primary shows the rows");
        let verdict = checker::check(&records, &rows);
        assert_eq!(verdict.violations, []);
        let not_sent = records.iter().filter(|record| {
            matches!(&record.ending, Ending::Refused(refusal) if refusal.outcome == Outcome::NotRun)
        });
        assert!(not_sent.count() > 10, "{verdict}");
        assert!(verdict.acknowledged > 50, "{verdict}");
    });
}
