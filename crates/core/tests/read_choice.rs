//! Tests of the selection of the member that serves a read.

use skylark_core::request::read_choice;
use skylark_core::request::read_choice::ReadCandidate;

fn candidate() -> ReadCandidate {
    ReadCandidate {
        same_zone: true,
        is_primary: false,
        average_answer_us: 10_000,
        outstanding: 0,
        is_preferred: true,
        is_lagging: false,
        is_failing: false,
    }
}

macro_rules! choices {
    ($($(#[$doc:meta])* $name:ident: $candidates:expr => $expected:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(read_choice::choose(&$candidates), $expected);
        })*
    };
}

choices! {
    no_candidates_give_no_choice: [] => None;
    the_own_zone_is_preferred:
        [ReadCandidate { same_zone: false, ..candidate() }, candidate()] => Some(1);
    /// Two outstanding statements triple the expected latency, which exceeds the penalty of the other zone.
    a_busy_member_in_the_own_zone_is_avoided:
        [ReadCandidate { same_zone: false, ..candidate() },
         ReadCandidate { outstanding: 2, ..candidate() }]
        => Some(0);
    a_replica_is_preferred_to_the_primary:
        [ReadCandidate { is_primary: true, ..candidate() }, candidate()] => Some(1);
    /// The organisation's connections are to one replica, which outweighs the penalty of another zone.
    the_preferred_member_of_the_organisation_wins:
        [ReadCandidate { is_preferred: false, ..candidate() },
         ReadCandidate { same_zone: false, ..candidate() }]
        => Some(1);
    /// The preferred member has several outstanding statements, which take longer than a connection
    /// elsewhere.
    a_busy_preferred_member_is_avoided:
        [ReadCandidate { is_preferred: false, ..candidate() },
         ReadCandidate { outstanding: 3, ..candidate() }]
        => Some(0);
    a_lagging_member_ranks_after_all_others:
        [ReadCandidate { is_lagging: true, ..candidate() },
         ReadCandidate { same_zone: false, outstanding: 5, ..candidate() }] => Some(1);
    a_failing_member_ranks_last:
        [ReadCandidate { is_failing: true, ..candidate() },
         ReadCandidate { is_lagging: true, ..candidate() }]
        => Some(1);
}
