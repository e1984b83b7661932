//! Weighted max-min sharing by start-time fair queueing (Goyal, Vin and Cheng, "Start-time fair
//! queueing").
//!
//! Each class has a tag in virtual time. The class with the lowest tag goes next; its tag then moves
//! on by the time for which its request keeps the target busy, divided by its weight. So classes
//! that always have requests waiting get time in proportion to their weights, what one leaves is
//! divided among the others, and a class that asks for less than its share is served almost at once.

use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;

/// Virtual time has this many units in a microsecond of a class of weight one, so that dividing by
/// a large weight doesn't round to nothing.
const UNITS_PER_US: u64 = 1_024;

/// The tags of the classes.
#[derive(Clone, Debug)]
pub struct WeightedMaxMin {
    weights: Vec<u64>,
    tags: Vec<u64>,
    virtual_time: u64,
}

impl SharingStrategy for WeightedMaxMin {
    fn new(classes: &[ClassShare]) -> WeightedMaxMin {
        let weights = classes.iter().map(|class| u64::from(class.weight.max(1))).collect();
        WeightedMaxMin { weights, tags: vec![0; classes.len()], virtual_time: 0 }
    }

    fn became_busy(&mut self, class: usize) {
        // A class that was idle must not use up afterwards what it left to the others.
        self.tags[class] = self.tags[class].max(self.virtual_time);
    }

    fn choose(&mut self, classes: &[ClassView], _now_us: u64) -> Option<usize> {
        let waiting = (0..classes.len()).filter(|class| classes[*class].queued > 0);
        waiting.min_by_key(|class| self.tags[*class])
    }

    fn granted(&mut self, class: usize, busy_us: u64) {
        self.virtual_time = self.virtual_time.max(self.tags[class]);
        self.tags[class] += busy_us.max(1) * UNITS_PER_US / self.weights[class];
    }

    fn busy_ahead_us(&self, class: usize, classes: &[ClassView], _now_us: u64) -> u64 {
        let own_us = classes[class].queued_busy_us();
        // The new request goes when the class's tag has passed what waits before it. Until then
        // each other class is served up to the same tag, as far as it has requests.
        let tag = self.tags[class].max(self.virtual_time);
        let until = tag + own_us * UNITS_PER_US / self.weights[class];
        let others = (0..classes.len()).filter(|other| *other != class);
        let served = others.map(|other| {
            let behind = until.saturating_sub(self.tags[other]);
            let served_us = behind * self.weights[other] / UNITS_PER_US;
            served_us.min(classes[other].queued_busy_us())
        });
        own_us + served.sum::<u64>()
    }
}
