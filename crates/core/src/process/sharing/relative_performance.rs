//! Lowest relative performance first.
//!
//! The idea is that of Carrera, Steinder, Whalley, Torres and Ayguadé, "Enabling resource sharing
//! between transactional and batch workloads using dynamic application placement": the relative
//! performance of a class is `(goal - response time) / goal`, zero where the goal is just met, and
//! the next resource goes to the class where it is lowest. The paper places applications over
//! minutes; here a slot is given to one request. The response time is that of the class's next
//! request if it were granted now: its wait up to now and its usual run time.

use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;

/// Relative performance in millionths.
const ONE: i64 = 1_000_000;

/// The strategy has no state: the waits and goals tell all.
#[derive(Clone, Copy, Debug)]
pub struct LowestRelativePerformance;

impl SharingStrategy for LowestRelativePerformance {
    fn new(_classes: &[ClassShare]) -> LowestRelativePerformance {
        LowestRelativePerformance
    }

    fn became_busy(&mut self, _class: usize) {}

    fn choose(&mut self, classes: &[ClassView], now_us: u64) -> Option<usize> {
        let waiting = (0..classes.len()).filter(|class| classes[*class].queued > 0);
        waiting.min_by_key(|class| relative_performance(&classes[*class], now_us))
    }

    fn granted(&mut self, _class: usize, _busy_us: u64) {}

    fn busy_ahead_us(&self, class: usize, classes: &[ClassView], now_us: u64) -> u64 {
        let own = &classes[class];
        let own_us = own.queued_busy_us();
        let others = (0..classes.len()).filter(|other| *other != class);
        let served = others.map(|other| {
            let view = &classes[other];
            // Requests of the other class go first while their wait, measured by its goal, is
            // longer than that of the new one. The part of its queue that is so old is taken from
            // the wait of its head, as if it had come evenly.
            let own_wait_us = own_us * view.share.goal_us / own.share.goal_us.max(1);
            let head_wait_us = now_us.saturating_sub(view.head_queued_us) + own_us;
            let queued_us = view.queued_busy_us();
            match head_wait_us {
                0 => 0,
                _ if own_wait_us >= head_wait_us => 0,
                _ => queued_us * (head_wait_us - own_wait_us) / head_wait_us,
            }
        });
        own_us + served.sum::<u64>()
    }
}

fn relative_performance(view: &ClassView, now_us: u64) -> i64 {
    let response_us = now_us.saturating_sub(view.head_queued_us) + view.run_us;
    let goal_us = view.share.goal_us.max(1) as i64;
    (goal_us - response_us as i64).saturating_mul(ONE) / goal_us
}
