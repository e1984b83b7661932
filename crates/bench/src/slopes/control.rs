//! What the reports of members cost a proxy that tracks their groups.

use std::hint;

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::detection::DetectionSettings;
use skylark_core::process::detection::PrimaryDetector;
use skylark_core::process::failover::Action;
use skylark_core::process::failover::Event;
use skylark_core::process::failover::FailoverDriver;
use skylark_core::process::failover::FailoverSettings;
use skylark_core::process::failover::MemberProfile;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::read_age::ReadAge;
use skylark_core::process::session_floors::SessionFloors;
use skylark_core::process::session_floors::SessionFloorsSettings;
use skylark_core::process::session_floors::SessionWrite;

use crate::slopes::case::Case;
use crate::slopes::case::Unit;
use crate::slopes::measure;
use crate::slopes::measure::Spread;

const MEMBERS: usize = 3;
const PROBE_US: u64 = 100_000;
const ROUND_TRIP_US: u64 = 3_000;

/// The cases of this file.
pub const CASES: &[Case] = &[
    Case {
        name: "status_bytes",
        what: "one member's report as JSON",
        size_of: "digits of the log position",
        sizes: &[1, 6, 12],
        unit: Unit::Bytes,
        run: |digits| Spread::exact(report_text(10_u64.pow(digits as u32 - 1)).len() as f64),
    },
    Case {
        name: "status_parse",
        what: "reading reports from JSON",
        size_of: "reports",
        sizes: &[1, 10, 100, 1000],
        unit: Unit::Ns,
        run: |reports| {
            let text = report_text(1_000_000);
            measure::time_ns(|| {
                for _ in 0..reports {
                    let status: MemberStatus =
                        serde_json::from_str(&text).expect("the text is a report");
                    hint::black_box(status);
                }
            })
        },
    },
    Case {
        name: "read_age_probes",
        what: "taking the answers to one probe of each member, by tracked group",
        size_of: "groups",
        sizes: &[2, 8, 32, 128],
        unit: Unit::Ns,
        run: |groups| {
            let mut ages: Vec<ReadAge> = (0..groups).map(|_| ReadAge::new(MEMBERS)).collect();
            let mut round = 0;
            measure::time_ns(|| {
                round += 1;
                for age in &mut ages {
                    probe_round(age, round);
                }
            })
        },
    },
    Case {
        name: "read_age_memory",
        what: "the samples of tracked groups, all rings full",
        size_of: "groups",
        sizes: &[2, 8, 32, 128],
        unit: Unit::Bytes,
        run: |groups| {
            measure::memory_bytes(|| {
                let mut ages: Vec<ReadAge> = (0..groups).map(|_| ReadAge::new(MEMBERS)).collect();
                for age in &mut ages {
                    (1..100).for_each(|round| probe_round(age, round));
                }
                ages
            })
        },
    },
    Case {
        name: "tracker_reports",
        what: "one report of each member through detector, driver, samples and floors, by tracked group",
        size_of: "groups",
        sizes: &[2, 8, 32, 128],
        unit: Unit::Ns,
        run: |groups| {
            let mut trackers: Vec<Tracker> = (0..groups).map(Tracker::new).collect();
            let mut round = 0;
            measure::time_ns(|| {
                round += 1;
                for tracker in &mut trackers {
                    tracker.round(round);
                }
            })
        },
    },
    Case {
        name: "tracker_memory",
        what: "detector, driver, samples and empty floors of tracked groups",
        size_of: "groups",
        sizes: &[2, 8, 32, 128],
        unit: Unit::Bytes,
        run: |groups| {
            measure::memory_bytes(|| {
                let mut trackers: Vec<Tracker> = (0..groups).map(Tracker::new).collect();
                for tracker in &mut trackers {
                    (1..100).for_each(|round| tracker.round(round));
                }
                trackers
            })
        },
    },
    Case {
        name: "floor_writes",
        what: "recording the writes of as many sessions between two reports of all members",
        size_of: "writes",
        sizes: &[10, 100, 1000, 10_000],
        unit: Unit::Ns,
        run: |writes| {
            let names: Vec<String> = (0..writes).map(session_name).collect();
            let mut floors = SessionFloors::new(SessionFloorsSettings::default(), members());
            let mut index = 0;
            measure::time_ns(|| {
                for name in &names {
                    index += 1;
                    record_write(&mut floors, name, index);
                }
                for member in 0..MEMBERS {
                    floors.note_status(member, &report(member, index));
                }
            })
        },
    },
    Case {
        name: "floor_memory",
        what: "floors of sessions whose writes some member has not applied",
        size_of: "sessions",
        sizes: &[100, 1000, 10_000, 20_000],
        unit: Unit::Bytes,
        run: |sessions| {
            measure::memory_bytes(|| {
                let mut floors = SessionFloors::new(SessionFloorsSettings::default(), members());
                for member in 0..MEMBERS {
                    floors.note_status(member, &report(member, 1));
                }
                for session in 0..sessions {
                    record_write(&mut floors, &session_name(session), session + 2);
                }
                assert_eq!(floors.session_count() as u64, sessions, "all sessions are on record");
                floors
            })
        },
    },
];

/// All that a home keeps and does for one group's reports.
struct Tracker {
    members: MemberSet,
    detector: PrimaryDetector,
    driver: FailoverDriver,
    age: ReadAge,
    floors: SessionFloors,
    actions: Vec<Action>,
}

impl Tracker {
    fn new(seed: u64) -> Tracker {
        let settings = DetectionSettings::default();
        let profiles = [MemberProfile::default(); MEMBERS];
        let driver = FailoverDriver::new(
            FailoverSettings::default(),
            "entry-0007",
            members(),
            &profiles,
            0,
            seed,
        );
        Tracker {
            members: members(),
            detector: PrimaryDetector::new(settings, 0, 0, Term(3), MEMBERS),
            driver,
            age: ReadAge::new(MEMBERS),
            floors: SessionFloors::new(SessionFloorsSettings::default(), members()),
            actions: Vec::new(),
        }
    }

    fn round(&mut self, round: u64) {
        let now_us = round * PROBE_US + ROUND_TRIP_US;
        probe_round(&mut self.age, round);
        for member in 0..MEMBERS {
            let status = report(member, round);
            self.detector.report(now_us, member, &status);
            self.floors.note_status(member, &status);
            let event = Event::Report { member, status };
            self.driver.on_event(now_us, &event, &mut self.actions);
            self.actions.clear();
        }
        hint::black_box(self.detector.verdict(now_us, &self.members));
    }
}

fn members() -> MemberSet {
    let names = (0..MEMBERS).map(|place| format!("database-00007-{place}")).collect();
    MemberSet::new(1, names).expect("three different names make a member set")
}

fn session_name(session: u64) -> String {
    format!("session-{session:012}")
}

fn record_write(floors: &mut SessionFloors, session: &str, index: u64) {
    let position = LogPosition::new(3, index);
    floors.record(SessionWrite { session: Some(session), position });
}

fn report(member: usize, index: u64) -> MemberStatus {
    let role = if member == 0 { Role::Primary } else { Role::Replica };
    let position = LogPosition::new(3, index);
    MemberStatus {
        role,
        raised_term: Term(3),
        raised_by: "entry-0007".to_owned(),
        log: position,
        applied: position,
        leaving: false,
    }
}

fn report_text(index: u64) -> String {
    serde_json::to_string(&report(1, index)).expect("a report is plain data")
}

fn probe_round(age: &mut ReadAge, round: u64) {
    let sent_us = round * PROBE_US;
    for member in 0..MEMBERS {
        age.probe_answered(member, sent_us, sent_us + ROUND_TRIP_US, &report(member, round));
    }
    for member in 0..MEMBERS {
        hint::black_box(age.fresh_as_of_us(member));
    }
}
