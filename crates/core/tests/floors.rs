//! Tests of a session's floors and their token.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use skylark_core::connection::floor::FloorError;
use skylark_core::connection::floor::Floors;
use skylark_core::connection::floor::MAX_GROUPS;
use skylark_core::connection::floor::MAX_TOKEN_BYTES;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::ParsePositionError;

fn position(index: u64) -> LogPosition {
    LogPosition::new(1, index)
}

#[test]
fn token_is_sorted_and_read_back() {
    let floors = Floors::parse("loans-b:2/9,loans-a:1/7").expect("a token");
    assert_eq!(floors.to_string(), "loans-a:1/7,loans-b:2/9");
    assert_eq!(floors.get("loans-b"), LogPosition::new(2, 9));
    assert_eq!(floors.get("other"), LogPosition::default());
    assert_eq!(Floors::parse(""), Ok(Floors::default()));
}

#[test]
fn bad_tokens_are_refused() {
    let refused = |token: &str| Floors::parse(token).expect_err(token);
    assert_eq!(refused("loans"), FloorError::MissingGroup);
    assert_eq!(refused(":1/2"), FloorError::MissingGroup);
    assert_eq!(refused("a:1/2,"), FloorError::MissingGroup);
    assert_eq!(refused("a b:1/2"), FloorError::BadGroup);
    assert_eq!(refused("a:12"), FloorError::BadPosition(ParsePositionError::MissingSeparator));
    assert_eq!(refused("a:1/-2"), FloorError::BadPosition(ParsePositionError::BadIndex));
    assert_eq!(refused(&"x".repeat(MAX_TOKEN_BYTES + 1)), FloorError::TooLong);
    let many: Vec<String> = (0..=MAX_GROUPS).map(|group| format!("g{group}:1/1")).collect();
    assert_eq!(refused(&many.join(",")), FloorError::TooManyGroups);
}

/// A caller presents a stale token after it has written more. If a floor were lowered, its next read could
/// miss its own write.
#[test]
fn merging_never_lowers_a_floor() {
    fn holds(own: Vec<(u8, u64)>, other: Vec<(u8, u64)>) -> bool {
        let floors = |entries: &[(u8, u64)]| {
            let mut floors = Floors::default();
            for &(group, index) in entries {
                floors.raise(&format!("g{}", group % 8), position(index)).expect("few groups");
            }
            floors
        };
        let (own, other) = (floors(&own), floors(&other));
        let mut merged = own.clone();
        merged.merge(&other).expect("few groups");
        let printed = merged.to_string();
        let is_max = (0..8)
            .map(|group| format!("g{group}"))
            .all(|group| merged.get(&group) == own.get(&group).max(other.get(&group)));
        is_max && Floors::parse(&printed) == Ok(merged.clone()) && merged.verify().is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 1))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u64)>, Vec<(u8, u64)>) -> bool);
}

/// The token of the largest possible floors is within the size limit and parses again.
#[test]
fn fullest_token_is_accepted() {
    let mut floors = Floors::default();
    for group in 0..MAX_GROUPS {
        let name = format!("{group:0>80}");
        floors.raise(&name, LogPosition::new(u64::MAX, u64::MAX)).expect("room");
    }
    assert_eq!(floors.raise("one-more", position(1)), Err(FloorError::TooManyGroups));
    assert_eq!(Floors::parse(&floors.to_string()), Ok(floors));
}
