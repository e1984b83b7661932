//! Tests of `skylarkctl` against a stand-in of the platform.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use skylark_ctl::confirm;
use skylark_ctl::exit::Exit;
use skylark_objects::ObjectStore;
use skylark_objects::PutResponse;
use skylark_objects::StoreError;
use skylark_objects::WatchResponse;
use skylark_objects::http::HttpStore;
use skylark_settings::deployment::DeploymentSettings;
use skylark_standin::platform::PlatformServer;
use tokio::net::TcpListener;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.display().to_string()
}

/// The exit and the output streams of one command.
struct CommandOutput {
    exit: Exit,
    out: String,
    err: String,
}

async fn skylarkctl(arguments: &[&str]) -> CommandOutput {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = [&["skylarkctl"], arguments].concat();
    let exit = skylark_ctl::run(arguments, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    CommandOutput { exit, out: text(out), err: text(err) }
}

/// A platform with the objects of the example `sfax.jsonc` and with lead records of its groups.
struct Deployment {
    server: PlatformServer,
}

impl Deployment {
    async fn start() -> Deployment {
        let server = PlatformServer::start(LOOPBACK).await.expect("the platform starts");
        let path = example("sfax.jsonc");
        let settings: DeploymentSettings =
            skylark_settings::load(Path::new(&path)).expect("the example is accepted");
        let store = &server.platform().store;
        for object in settings.seed_objects() {
            store.put(object.kind, &object.name, 0, object.body).expect("an empty platform");
        }
        for group in &settings.groups {
            let primary = &group.members[0].target;
            let lead = json!({ "term": 1, "driver": "sfax-1", "primary": primary });
            store.put(ObjectKind::Lead, &group.name, 0, lead).expect("an empty platform");
        }
        store.set_vms(settings.vm_records());
        Deployment { server }
    }

    fn address(&self) -> String {
        self.server.address().to_string()
    }

    async fn ctl(&self, arguments: &[&str]) -> CommandOutput {
        let address = self.address();
        skylarkctl(&[&["--platform", &address, "--timeout-ms", "1000"], arguments].concat()).await
    }

    /// Plans an intent and returns the plan's id.
    async fn plan(&self, intent: &[&str]) -> String {
        let output = self.ctl(&[&["--json", "plan"], intent].concat()).await;
        assert_eq!(output.exit, Exit::Success, "{}", output.err);
        let output: Value = serde_json::from_str(&output.out).expect("the output is JSON");
        output["plan"]["id"].as_str().expect("the plan has an id").to_owned()
    }

    /// Returns all objects except plans, by version.
    fn configuration(&self) -> Vec<StoredObject> {
        let mut objects = self.server.platform().store.snapshot().objects;
        objects.retain(|object| object.kind != ObjectKind::Plan);
        objects.sort_by_key(|object| object.version);
        objects
    }

    fn body(&self, kind: ObjectKind, name: &str) -> Value {
        self.server.platform().store.get(kind, name).expect("the object is there").body
    }

    fn weight(&self) -> Value {
        self.body(ObjectKind::Service, "loans-db")["classes"][2]["weight"].clone()
    }
}

const WEIGHT_2: [&str; 4] = ["set-weight", "loans-db", "lookups", "2"];
const WEIGHT_3: [&str; 4] = ["set-weight", "loans-db", "lookups", "3"];
const DRAIN_PRIMARY: [&str; 3] = ["drain", "target", "loans-1-medina"];

macro_rules! refusals {
    ($($name:ident: $arguments:expr => $exit:ident, $message:literal;)+) => {
        $(#[tokio::test]
        async fn $name() {
            let deployment = Deployment::start().await;
            let before = deployment.configuration();
            let output = deployment.ctl(&$arguments).await;
            assert_eq!((output.exit, &*output.err), (Exit::$exit, concat!("skylarkctl: ", $message, "\n")));
            assert_eq!(output.out, "");
            assert_eq!(deployment.configuration(), before);
        })+
    };
}

refusals! {
    unknown_target: ["plan", "drain", "target", "loans-1-medna"] => UnknownObject,
        "there is no target `loans-1-medna`; the nearest name is `loans-1-medina`";
    unknown_service: ["plan", "set-weight", "loans", "lookups", "2"] => UnknownObject,
        "there is no service `loans`; the nearest name is `loans-db`";
    unknown_plan: ["confirm", "0123456789abcdef"] => UnknownObject,
        "there is no plan `0123456789abcdef`";
    unknown_plan_explained: ["explain", "0123456789abcdef"] => UnknownObject,
        "there is no plan `0123456789abcdef`";
    bad_weight: ["plan", "set-weight", "loans-db", "lookups", "0"] => BadValue,
        "the weight: `0` is not accepted; accepted: 1 to 1000000";
    no_change: ["plan", "set-weight", "loans-db", "lookups", "1"] => NoChange,
        "nothing to change: class `lookups` has weight 1";
}

#[tokio::test]
async fn nothing_changes_before_confirm() {
    let deployment = Deployment::start().await;
    let before = deployment.configuration();
    let id = deployment.plan(&WEIGHT_2).await;
    let output = deployment.ctl(&["explain", &id]).await;
    assert_eq!(output.exit, Exit::Success);
    assert!(output.out.contains("proposed: nothing has changed"), "{}", output.out);
    assert_eq!(deployment.configuration(), before);

    let output = deployment.ctl(&["confirm", &id]).await;
    assert_eq!(output.out, format!("plan {id} is in force: 1 of 1 steps are done\n"));
    assert_eq!(deployment.weight(), 2);
    let output = deployment.ctl(&["confirm", &id]).await;
    assert_eq!(output.out, format!("plan {id} was in force already: 1 of 1 steps are done\n"));
}

#[tokio::test]
async fn same_intent_twice_is_one_plan() {
    // An operator repeats a `plan` that got no answer, or two operators plan the same intent. Storing the
    // first plan increments the store's revision, so the second plan has a different id. Confirming one
    // supersedes the other, and the change is applied once.
    let deployment = Deployment::start().await;
    let first = deployment.plan(&WEIGHT_2).await;
    let second = deployment.plan(&WEIGHT_2).await;
    assert_eq!(deployment.ctl(&["confirm", &first]).await.exit, Exit::Success);
    assert_eq!(deployment.ctl(&["confirm", &second]).await.exit, Exit::Superseded);
    assert_eq!(deployment.weight(), 2);
}

#[tokio::test]
async fn racing_operators() {
    // Two operators confirm conflicting plans concurrently. The platform accepts one update of the service.
    // The other confirmation reports that its plan is superseded and that none of it was applied.
    let deployment = Deployment::start().await;
    let first = deployment.plan(&WEIGHT_2).await;
    let second = deployment.plan(&WEIGHT_3).await;
    let (confirm_first, confirm_second) = (["confirm", &*first], ["confirm", &*second]);
    let (first_output, second_output) =
        tokio::join!(deployment.ctl(&confirm_first), deployment.ctl(&confirm_second));
    let (winner, loser, weight) = match first_output.exit {
        Exit::Success => (first_output, second_output, 2),
        _ => (second_output, first_output, 3),
    };
    assert_eq!((winner.exit, loser.exit), (Exit::Success, Exit::Superseded));
    assert!(loser.err.contains("nothing of it was changed; plan again"), "{}", loser.err);
    assert_eq!(deployment.weight(), weight);
}

#[tokio::test]
async fn every_answer_lost() {
    // Each update of the confirmation is applied, but its answer is lost. The tool reads the objects back,
    // finds the plan's id in them and reports success. Each update is applied once.
    let deployment = Deployment::start().await;
    let id = deployment.plan(&WEIGHT_2).await;
    let before = deployment.server.platform().store.snapshot().revision;
    deployment.server.platform().faults.change(|faults| faults.lose_answers = 3);
    let address = deployment.address();
    let output = skylarkctl(&["--platform", &address, "confirm", &id]).await;
    assert_eq!(output.exit, Exit::Success, "{}", output.err);
    assert_eq!(deployment.weight(), 2);
    let after = deployment.server.platform().store.snapshot().revision;
    assert_eq!(after - before, 3, "two updates of the record and one of the service");
}

#[tokio::test]
async fn platform_down() {
    // Nothing listens at the platform's address, or the platform answers that it is unavailable. `plan` and
    // `confirm` report without waiting for their time limit that the platform is down and that they changed
    // nothing.
    let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let deployment = Deployment::start().await;
    let id = deployment.plan(&WEIGHT_2).await;
    deployment.server.platform().faults.change(|faults| faults.down = true);
    let down = deployment.address();
    for platform in [address, down] {
        for command in [["confirm", &id].as_slice(), &["plan", "drain", "vm", "sfax-1"]] {
            let output = skylarkctl(&[&["--platform", &*platform], command].concat()).await;
            assert_eq!(output.exit, Exit::PlatformDown, "{}", output.err);
            assert!(output.err.contains("this command changed nothing"), "{}", output.err);
        }
    }
    deployment.server.platform().faults.change(|faults| faults.down = false);
    assert_eq!(deployment.weight(), 1);
}

#[tokio::test]
async fn no_proxy_or_platform_given() {
    for command in [["status"].as_slice(), &["explain", "loans-1"]] {
        let output = skylarkctl(command).await;
        assert_eq!(output.exit, Exit::Usage);
        assert!(output.err.contains("--proxy or --platform is needed"), "{}", output.err);
    }
}

#[tokio::test]
async fn proxy_down() {
    let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    for command in [["status"].as_slice(), &["explain", "loans-1"]] {
        let output = skylarkctl(&[&["--proxy", &*address], command].concat()).await;
        assert_eq!(output.exit, Exit::ProxyDown);
        assert!(output.err.contains("does not answer"), "{}", output.err);
        let output = skylarkctl(&[&["--json", "--proxy", &*address], command].concat()).await;
        let error: Value = serde_json::from_str(&output.err).expect("the failure is JSON");
        assert_eq!((&error["error"], &error["exit_code"]), (&json!("proxy_down"), &json!(9)));
    }
}

/// A store that stops answering as soon as a service object was updated.
#[derive(Clone)]
struct SilentAfterChange {
    store: HttpStore,
    silent: Arc<AtomicBool>,
}

impl SilentAfterChange {
    fn answer<T>(&self, answer: Result<T, StoreError>) -> Result<T, StoreError> {
        let silent = self.silent.load(Ordering::Relaxed);
        if silent { Err(StoreError::NoAnswer("silent".to_owned())) } else { answer }
    }
}

impl ObjectStore for SilentAfterChange {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<StoredObject, StoreError> {
        self.answer(self.store.get(kind, name).await)
    }

    async fn snapshot(&self) -> Result<Snapshot, StoreError> {
        self.answer(self.store.snapshot().await)
    }

    async fn snapshot_with_timeout(&self, limit: Duration) -> Result<Snapshot, StoreError> {
        self.answer(self.store.snapshot_with_timeout(limit).await)
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        body: Value,
    ) -> Result<PutResponse, StoreError> {
        let answer = self.store.put(kind, name, expected_version, body).await;
        self.silent.fetch_or(kind == ObjectKind::Service, Ordering::Relaxed);
        self.answer(answer)
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
    ) -> Result<PutResponse, StoreError> {
        self.answer(self.store.delete(kind, name, expected_version).await)
    }

    async fn watch(&self, after: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        self.answer(self.store.watch(after, wait).await)
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, StoreError> {
        self.answer(self.store.vms().await)
    }
}

#[tokio::test]
async fn platform_down_after_the_change() {
    // The update is applied, its answer is lost, and the platform stops answering. The tool must report
    // neither success nor that nothing was changed: the outcome is unknown. Once the platform answers again,
    // confirming the same id reports that the plan is in force.
    let deployment = Deployment::start().await;
    let id = deployment.plan(&WEIGHT_2).await;
    let store = HttpStore::new(&deployment.address(), "operators");
    let store = SilentAfterChange { store, silent: Arc::new(AtomicBool::new(false)) };
    let failure =
        confirm::run(&store, &id, SECOND).await.expect_err("success must not be reported");
    assert_eq!(failure.exit(), Exit::OutcomeUnknown, "{failure}");
    store.silent.store(false, Ordering::Relaxed);
    let report = confirm::run(&store, &id, MINUTE).await.expect("the platform answers again");
    assert_eq!(report.exit, Exit::Success);
    assert_eq!(deployment.weight(), 2);
}

#[tokio::test]
async fn drain_of_a_primary_waits_and_is_resumed() {
    // Draining a primary first requests a move of the primary. Without a driver that executes the move, the
    // confirmation ends as unfinished, and the target is not drained while it is the primary. After a driver
    // has moved the primary, confirming the same id drains the target.
    let deployment = Deployment::start().await;
    let id = deployment.plan(&DRAIN_PRIMARY).await;
    let output = deployment.ctl(&["confirm", &id]).await;
    assert_eq!(output.exit, Exit::Unfinished, "{}", output.err);
    assert!(output.err.contains("1 of 3 steps are in force"), "{}", output.err);
    let lead = deployment.body(ObjectKind::Lead, "loans-1");
    assert_eq!(lead["wanted"], "loans-1-depot");
    assert_eq!(deployment.body(ObjectKind::Group, "loans-1")["members"][0].get("drain"), None);

    let store = &deployment.server.platform().store;
    let version = store.get(ObjectKind::Lead, "loans-1").expect("the lead record").version;
    let moved = json!({
        "term": 2, "driver": "sfax-3", "primary": "loans-1-depot", "plan": lead["plan"],
    });
    store.put(ObjectKind::Lead, "loans-1", version, moved).expect("no concurrent update");
    let output = deployment.ctl(&["confirm", &id]).await;
    assert_eq!(output.exit, Exit::Success, "{}", output.err);
    assert_eq!(deployment.body(ObjectKind::Group, "loans-1")["members"][0]["drain"], true);

    let output = deployment.ctl(&["plan", "drain", "target", "loans-1-sakiet"]).await;
    assert_eq!(output.exit, Exit::Refused, "another drain would lose the majority");
}

#[tokio::test]
async fn groups_are_added_and_removed() {
    let deployment = Deployment::start().await;
    let file = std::env::temp_dir().join(format!("skylarkctl-{}.jsonc", std::process::id()));
    let group = r#"{
        // Three new databases.
        "name": "loans-4", "service": "loans-db",
        "members": [
            { "target": "n1", "zone": "sfax-medina", "address": "127.0.0.1:7401", "slots": 2, "connections": 16 },
            { "target": "n2", "zone": "sfax-depot", "address": "127.0.0.1:7402", "slots": 2, "connections": 16 },
            { "target": "n3", "zone": "sfax-sakiet", "address": "127.0.0.1:7403", "slots": 2, "connections": 16 },
        ],
    }"#;
    std::fs::write(&file, group).expect("the file is written");
    let path = file.display().to_string();
    let output = skylarkctl(&["check", &path]).await;
    assert!(output.out.ends_with("accepted as settings of a group\n"), "{}", output.out);
    let id = deployment.plan(&["add-group", &path]).await;
    assert_eq!(deployment.ctl(&["confirm", &id]).await.exit, Exit::Success);
    assert_eq!(deployment.body(ObjectKind::Group, "loans-4")["members"][2]["target"], "n3");
    let again = deployment.ctl(&["plan", "add-group", &path]).await;
    assert_eq!(again.exit, Exit::NoChange);
    std::fs::remove_file(&file).expect("the file is removed");

    let id = deployment.plan(&["remove-group", "loans-4"]).await;
    assert_eq!(deployment.ctl(&["confirm", &id]).await.exit, Exit::Success);
    assert_eq!(deployment.server.platform().store.get(ObjectKind::Group, "loans-4"), None);
}

#[tokio::test]
async fn old_plans_are_removed() {
    // Every plan adds an object to all snapshots. Each command removes a few of the oldest plans beyond the
    // bound. A plan that is confirmed but not finished is kept, so that it can be resumed.
    const OLD_PLANS: usize = 260;
    let deployment = Deployment::start().await;
    let unfinished = deployment.plan(&DRAIN_PRIMARY).await;
    assert_eq!(deployment.ctl(&["confirm", &unfinished]).await.exit, Exit::Unfinished);
    let store = &deployment.server.platform().store;
    for number in 0..OLD_PLANS {
        store.put(ObjectKind::Plan, &format!("{number:016x}"), 0, json!({})).expect("a new plan");
    }
    let plans = || {
        let mut objects = store.snapshot().objects;
        objects.retain(|object| object.kind == ObjectKind::Plan);
        objects.into_iter().map(|object| object.name).collect::<Vec<_>>()
    };
    let newest = deployment.plan(&WEIGHT_2).await;
    let kept = plans();
    assert_eq!(kept.len(), 257, "the bound plus the newest plan");
    assert!(kept.contains(&unfinished) && kept.contains(&newest), "{kept:?}");
    assert!(!kept.contains(&format!("{:016x}", 0)), "the oldest of the others is removed");
}

#[tokio::test]
async fn check_lists_every_mistake() {
    for (name, kind) in
        [("sfax.jsonc", "deployment"), ("mittelland.jsonc", "deployment"), ("proxy.jsonc", "proxy")]
    {
        let output = skylarkctl(&["check", &example(name)]).await;
        assert_eq!(output.exit, Exit::Success, "{}", output.err);
        assert!(output.out.ends_with(&format!("settings of a {kind}\n")), "{}", output.out);
    }
    let output = skylarkctl(&["--json", "check", "--kind", "group", &example("proxy.jsonc")]).await;
    assert_eq!(output.exit, Exit::BadValue);
    let error: Value = serde_json::from_str(&output.err).expect("the failure is JSON");
    let mistakes = error["mistakes"].as_array().expect("the mistakes are a list");
    assert!(mistakes.len() > 3, "{error}");
    let output = skylarkctl(&["check", "/no/such/file.jsonc"]).await;
    assert_eq!(output.exit, Exit::Usage);
}
