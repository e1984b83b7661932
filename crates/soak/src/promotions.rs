//! The check of each promotion at its effect: the promoted log has every write whose success a caller received.

use skylark_standin::typed::group::Group;
use skylark_standin::typed::group::MissingWrite;
use skylark_standin::typed::group::Promotion;
use time::OffsetDateTime;

/// Returns the promotions that lost writes.
pub fn violations(group: &Group) -> Vec<String> {
    let promotions = group.promotions();
    let lossy = promotions.iter().filter(|promotion| !promotion.missing.is_empty());
    lossy.map(|promotion| format!("lossy promotion: {}", line(group, promotion))).collect()
}

/// Describes each promotion that took effect on one line.
pub fn describe(group: &Group) -> Vec<String> {
    group.promotions().iter().map(|promotion| line(group, promotion)).collect()
}

fn line(group: &Group, promotion: &Promotion) -> String {
    let call = promotion.call.as_ref().map_or_else(String::new, |(call, accepted)| {
        let accepted = OffsetDateTime::from(*accepted);
        format!("{} by {} token {} accepted {accepted}", call.target, call.holder, call.token)
    });
    let effective = OffsetDateTime::from(promotion.effective);
    let Promotion { replaced, term, log_end, paused, missing, .. } = promotion;
    let lost: String = missing.iter().map(missing_text).collect();
    format!(
        "{} {call} effective {effective} term {term} log end {log_end} replaced {replaced:?} \
         paused {paused:?} missing {}:{lost}",
        group.options.service,
        missing.len()
    )
}

fn missing_text(write: &MissingWrite) -> String {
    let position = write.position.map_or_else(|| "-".to_owned(), |it| it.to_string());
    format!(" {} {position} {:?}", write.data, write.holders)
}
