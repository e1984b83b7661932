//! Runs the text cases under `tests/cases/failover`: the actions of one driver after each event.
//!
//! A case is a list of lines. A line that starts with `#` is a comment; a case begins with a
//! description of the failure that it covers. `at MS EVENT` passes an event to the driver; the
//! indented lines below it are all the actions that it returns, without timers and trace steps. The
//! driver is `vm0`, ranked first, in a group of three members. A comment that contains `target0 is
//! drained` marks target0 as drained.
//!
//! Events: `report M STATUS`, `answer M CALL: STATUS`, `timer`, `suspected TERM`, `trusted`, `rank
//! N`, `lead VERSION RECORD`, `took VERSION`, `conflict`, `read VERSION RECORD`, `silence`. The
//! platform's answers belong to the last call. `M` is a member's index. STATUS is `ROLE RAISED_TERM
//! by NAME log TERM/INDEX`; RECORD is `term T driver NAME primary NAME wanted NAME`, or `none`;
//! NAME `-` is the empty name.

use std::fs;
use std::path::Path;

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::failover::Action;
use skylark_core::process::failover::Event;
use skylark_core::process::failover::FailoverDriver;
use skylark_core::process::failover::FailoverSettings;
use skylark_core::process::failover::MemberCall;
use skylark_core::process::failover::MemberProfile;
use skylark_core::process::failover::PlatformAnswer;
use skylark_core::process::failover::PlatformCall;
use skylark_core::process::member_set::MemberSet;
use skylark_core::version::objects::LeadRecord;

macro_rules! case_test {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )*

        /// Fails if a case file has no test, which would never run.
        #[test]
        fn every_case_has_a_test() {
            let mut files: Vec<String> = fs::read_dir(folder())
                .expect("the folder of cases")
                .map(|entry| entry.expect("an entry").path())
                .map(|path| path.file_stem().expect("a name").to_string_lossy().into_owned())
                .collect();
            files.sort();
            let mut named = vec![$(stringify!($name)),*];
            named.sort();
            assert_eq!(files, named);
        }
    };
}

case_test! {
    claim_conflict_lets_the_other_drive
    claim_of_own_found_after_lost_answer
    claim_skipped_without_platform
    cut_off_process_raises_nothing
    drained_member_is_passed_over_among_equals
    drained_member_leads_with_the_highest_log
    fence_needs_a_majority
    highest_log_is_promoted
    first_primary_is_elected
    hold_of_a_dead_driver_ends
    lost_promotion_promotes_nobody_else
    lower_ranked_waits_its_turn
    planned_move
    platform_that_refuses_at_once_costs_nothing
    stray_members_are_told_to_follow
    suspicion_ends_when_the_primary_answers
    vote_lost_backs_off_to_a_higher_term
}

fn folder() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/failover"))
}

struct Runner {
    driver: FailoverDriver,
    last_call: PlatformCall,
}

fn run(name: &str) {
    let path = folder().join(name).with_extension("txt");
    let text = fs::read_to_string(&path).expect("the case's file");
    let names = (0..3).map(|member| format!("target{member}")).collect();
    let members = MemberSet::new(1, names).expect("distinct names");
    let mut profiles = [MemberProfile::default(); 3];
    profiles[0].drained = text.contains("target0 is drained");
    let settings = FailoverSettings::default();
    let driver = FailoverDriver::new(settings, "vm0", members, &profiles, 0, 1);
    let mut runner = Runner { driver, last_call: PlatformCall(0) };
    let mut expected = String::new();
    let mut actual = String::new();
    for line in text.lines().filter(|line| !line.starts_with('#') && !line.is_empty()) {
        expected.push_str(line.trim_end());
        expected.push('\n');
        if line.starts_with("at ") {
            actual.push_str(&runner.step(line));
        }
    }
    assert_eq!(actual, expected, "{}", path.display());
}

impl Runner {
    /// Passes the line's event to the driver. Returns the line and the actions as text.
    fn step(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        let now_us = 1_000 * number(words[1]);
        let event = self.event(&words[2..]);
        let mut actions = Vec::new();
        self.driver.on_event(now_us, &event, &mut actions);
        assert_eq!(self.driver.verify(), [], "{line}");
        let mut text = format!("{}\n", line.trim_end());
        for action in &actions {
            self.remember_call(action);
            if let Some(action) = print(action) {
                text.push_str(&format!("  {action}\n"));
            }
        }
        text
    }

    fn remember_call(&mut self, action: &Action) {
        if let Action::UpdateLead { call, .. } | Action::ReadLead { call } = action {
            self.last_call = *call;
        }
    }

    fn event(&self, words: &[&str]) -> Event {
        let platform = |answer| Event::Platform { call: self.last_call, answer };
        match *words {
            ["report", member, ref rest @ ..] => {
                Event::Report { member: number(member) as usize, status: status(rest) }
            }
            ["answer", member, ref rest @ ..] => answer(number(member) as usize, rest),
            ["timer"] => Event::Timer,
            ["suspected", term] => Event::Suspected { term: Term(number(term)) },
            ["trusted"] => Event::Trusted,
            ["rank", rank] => Event::Rank { rank: number(rank) as u32 },
            ["lead", version, ref rest @ ..] => {
                Event::LeadSeen { version: number(version), record: record(rest) }
            }
            ["took", version] => platform(PlatformAnswer::Updated { version: number(version) }),
            ["conflict"] => platform(PlatformAnswer::Conflict),
            ["read", version, ref rest @ ..] => {
                platform(PlatformAnswer::Read { version: number(version), record: record(rest) })
            }
            ["silence"] => platform(PlatformAnswer::NoAnswer),
            _ => panic!("unknown event {words:?}"),
        }
    }
}

fn answer(member: usize, words: &[&str]) -> Event {
    let (call, rest) = match *words {
        ["status:", ref rest @ ..] => (MemberCall::ReadStatus, rest),
        ["raise", term, ref rest @ ..] => (MemberCall::Raise { term: parse_term(term) }, rest),
        ["promote", term, ref rest @ ..] => (MemberCall::Promote { term: parse_term(term) }, rest),
        ["follow", term, primary, ref rest @ ..] => {
            let primary = parse_term(primary).0 as usize;
            (MemberCall::Follow { term: parse_term(term), primary }, rest)
        }
        _ => panic!("unknown answer {words:?}"),
    };
    Event::MemberAnswer { member, call, status: status(rest) }
}

fn number(word: &str) -> u64 {
    word.parse().unwrap_or_else(|_| panic!("`{word}` is no number"))
}

fn parse_term(word: &str) -> Term {
    Term(number(word.trim_end_matches(':')))
}

fn name(word: &str) -> String {
    if word == "-" { String::new() } else { word.to_owned() }
}

fn status(words: &[&str]) -> MemberStatus {
    let [role, raised_term, "by", raised_by, "log", log] = *words else {
        panic!("`{words:?}` is no status");
    };
    let role = match role {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        "fenced" => Role::Fenced,
        _ => panic!("unknown role {role}"),
    };
    let log = log.parse().expect("a position");
    let raised_term = Term(number(raised_term));
    let raised_by = name(raised_by);
    MemberStatus { role, raised_term, raised_by, log, applied: log, leaving: false }
}

fn record(words: &[&str]) -> Option<LeadRecord> {
    match *words {
        ["none"] => None,
        ["term", term, "driver", driver, "primary", primary, "wanted", wanted] => {
            Some(LeadRecord {
                term: Term(number(term)),
                driver: name(driver),
                primary: name(primary),
                wanted: name(wanted),
                plan: String::new(),
            })
        }
        _ => panic!("`{words:?}` is no record"),
    }
}

fn print(action: &Action) -> Option<String> {
    Some(match action {
        Action::CallMember { member, call } => match call {
            MemberCall::ReadStatus => format!("status {member}"),
            MemberCall::Raise { term } => format!("raise {member} {term}"),
            MemberCall::Promote { term } => format!("promote {member} {term}"),
            MemberCall::Follow { term, primary } => format!("follow {member} {term} {primary}"),
        },
        Action::UpdateLead { expected_version, record, .. } => {
            let or_dash = |text: &str| if text.is_empty() { "-".into() } else { text.to_owned() };
            format!(
                "update {expected_version} term {} driver {} primary {} wanted {}",
                record.term,
                record.driver,
                or_dash(&record.primary),
                or_dash(&record.wanted),
            )
        }
        Action::ReadLead { .. } => "read".to_owned(),
        Action::HoldWrites => "hold".to_owned(),
        Action::ReleaseWrites => "release".to_owned(),
        Action::Announce { leader } => format!("announce {} {}", leader.member, leader.term),
        Action::SetTimer { .. } | Action::Trace { .. } => return None,
    })
}
