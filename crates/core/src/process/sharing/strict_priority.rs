//! Strict priority: the waiting class of the highest weight goes next.

use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;

/// The strategy has no state: the weights tell all.
#[derive(Clone, Copy, Debug)]
pub struct StrictPriority;

impl SharingStrategy for StrictPriority {
    fn new(_classes: &[ClassShare]) -> StrictPriority {
        StrictPriority
    }

    fn became_busy(&mut self, _class: usize) {}

    fn choose(&mut self, classes: &[ClassView], _now_us: u64) -> Option<usize> {
        let waiting = (0..classes.len()).filter(|class| classes[*class].queued > 0);
        waiting.min_by_key(|class| {
            let view = &classes[*class];
            (u32::MAX - view.share.weight, view.head_queued_us)
        })
    }

    fn granted(&mut self, _class: usize, _busy_us: u64) {}

    fn busy_ahead_us(&self, class: usize, classes: &[ClassView], _now_us: u64) -> u64 {
        let weight = classes[class].share.weight;
        let ahead = classes.iter().filter(|view| view.share.weight >= weight);
        ahead.map(ClassView::queued_busy_us).sum()
    }
}
