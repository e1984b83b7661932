//! Arrival order: whoever waits longest goes next, whatever its class.

use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;

/// The strategy has no state: the heads of the classes tell all.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalOrder;

impl SharingStrategy for ArrivalOrder {
    fn new(_classes: &[ClassShare]) -> ArrivalOrder {
        ArrivalOrder
    }

    fn became_busy(&mut self, _class: usize) {}

    fn choose(&mut self, classes: &[ClassView], _now_us: u64) -> Option<usize> {
        let waiting = (0..classes.len()).filter(|class| classes[*class].queued > 0);
        waiting.min_by_key(|class| classes[*class].head_queued_us)
    }

    fn granted(&mut self, _class: usize, _busy_us: u64) {}

    fn busy_ahead_us(&self, _class: usize, classes: &[ClassView], _now_us: u64) -> u64 {
        classes.iter().map(ClassView::queued_busy_us).sum()
    }
}
