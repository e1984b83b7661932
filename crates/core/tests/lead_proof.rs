//! What proves that a primary was not replaced by a moment, and what must not count.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::request::lead_proof::GroupView;
use skylark_core::request::lead_proof::LeadReport;
use skylark_core::request::lead_proof::LeadVerdict;
use skylark_core::request::lead_proof::LeadWords;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() $body)*
    };
}

/// The moment that a proof is asked for, in microseconds.
const MOMENT_US: u64 = 1_000;

fn id(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn at(index: u64) -> LogPosition {
    LogPosition::new(1, index)
}

fn word(asked_us: u64, term: u64) -> LeadReport {
    LeadReport { asked_us, leads: false, term, received: at(5) }
}

/// Words of a group whose target `old` said early that it leads term 1.
fn words() -> LeadWords {
    let mut words = LeadWords::default();
    words.record(&id("old"), LeadReport { leads: true, ..word(0, 1) });
    words
}

fn group<'a>(others: &'a [&'a str]) -> GroupView<'a> {
    GroupView { others, departed: 0, sync_replicas: 1, is_complete: true, floor: at(5) }
}

cases! {
    one_word_of_three_members_is_enough {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US, 1));
        let others = ["b", "c"];
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Proved);
    }

    /// A replica says that it knows of no later term, and then receives a commit of one. A read that comes
    /// after that must not rest on what it said before.
    a_word_from_before_the_moment_does_not_count {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US - 1, 1));
        let others = ["b", "c"];
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Missing(1));
    }

    /// A member acknowledged with the successor, started again and knows nothing of it.
    a_member_that_lost_its_log_does_not_count {
        let mut words = words();
        words.record(&id("b"), LeadReport { received: at(0), ..word(MOMENT_US, 1) });
        let others = ["b", "c"];
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Missing(1));
    }

    /// A fourth member stands in during a replacement: it and the successor can acknowledge without the one
    /// that was asked.
    a_fourth_member_takes_another_word {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US, 1));
        let others = ["b", "c", "d"];
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Missing(1));
        words.record(&id("d"), word(MOMENT_US, 1));
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Proved);
    }

    /// A member that left may have acknowledged with the successor before.
    a_member_that_left_takes_another_word {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US, 1));
        let others = ["b", "c"];
        let view = GroupView { departed: 1, ..group(&others) };
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &view), LeadVerdict::Missing(1));
    }

    /// Where a member may have come that is not listed, all that are listed have to say so: the successor is
    /// one of them.
    a_list_that_may_lack_a_member_takes_all_words {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US, 1));
        let others = ["b", "c"];
        let view = GroupView { is_complete: false, ..group(&others) };
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &view), LeadVerdict::Missing(1));
        words.record(&id("c"), word(MOMENT_US, 1));
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &view), LeadVerdict::Proved);
    }

    a_later_term_supersedes_whenever_it_was_heard {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US, 1));
        words.record(&id("c"), word(500, 2));
        words.record(&id("old"), LeadReport { leads: true, ..word(600, 1) });
        let others = ["b", "c"];
        let verdict = words.verdict(&id("old"), MOMENT_US, &group(&others));
        assert_eq!(verdict, LeadVerdict::Superseded { term: 2 });
    }

    /// A target that was promoted again since it was asked leads a term that it has not told.
    a_target_is_asked_again_once_a_later_term_is_heard {
        let mut words = words();
        words.record(&id("c"), word(500, 3));
        let others = ["b", "c"];
        let verdict = words.verdict(&id("old"), MOMENT_US, &group(&others));
        assert_eq!(verdict, LeadVerdict::TermUnknown);
        words.record(&id("old"), LeadReport { leads: true, ..word(600, 3) });
        words.record(&id("b"), word(MOMENT_US, 3));
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Proved);
    }

    /// What counts is when a word was asked for: it may have been under way for long.
    a_word_that_comes_late_dates_from_its_question {
        let mut words = words();
        words.record(&id("b"), word(MOMENT_US, 1));
        words.record(&id("b"), word(MOMENT_US - 500, 1));
        let others = ["b", "c"];
        let moment_us = MOMENT_US - 400;
        assert_eq!(words.verdict(&id("old"), moment_us, &group(&others)), LeadVerdict::Proved);
        let verdict = words.verdict(&id("old"), MOMENT_US + 1, &group(&others));
        assert_eq!(verdict, LeadVerdict::Missing(1));
    }

    an_acknowledged_commit_proves_the_lead_until_it_was_sent {
        let mut words = words();
        words.acknowledged(&id("old"), MOMENT_US);
        let others = ["b", "c"];
        assert_eq!(words.verdict(&id("old"), MOMENT_US, &group(&others)), LeadVerdict::Proved);
        let verdict = words.verdict(&id("old"), MOMENT_US + 1, &group(&others));
        assert_eq!(verdict, LeadVerdict::Missing(1));
    }

    a_proof_is_of_one_target_only {
        let mut words = words();
        words.acknowledged(&id("old"), MOMENT_US);
        words.record(&id("b"), LeadReport { leads: true, ..word(0, 1) });
        let others = ["old", "c"];
        let verdict = words.verdict(&id("b"), MOMENT_US, &group(&others));
        assert_eq!(verdict, LeadVerdict::Missing(1));
    }
}
