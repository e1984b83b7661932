//! What the reports of members cost a proxy that tracks their groups.

use std::hint;

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::read_age::ReadAge;

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
];

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
