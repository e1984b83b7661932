//! Weighted max-min sharing by start-time fair queueing (Goyal, Vin and Cheng, "Start-time fair
//! queueing").
//!
//! Each class has a tag in virtual time. The class with the lowest tag is served next; its tag then
//! increases by the time for which the request keeps the target busy, divided by the weight of the
//! class. So classes that always have waiting requests get time in proportion to their weights,
//! what one class does not use is divided among the others, and a class that asks for less than its
//! share is served almost without waiting.

use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;

/// The units of virtual time in a microsecond of a class of weight one. The resolution keeps the
/// division by a large weight from rounding to zero.
const UNITS_PER_US: u64 = 1_024;

/// The scheduling state: the weight and the tag of each class, and the virtual time.
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
        // An idle class must not accumulate credit.
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
        // The new request is served when the tag of the class has passed the requests before it.
        // Until then each other class is served up to the same tag, as far as it has requests.
        let tag = self.tags[class].max(self.virtual_time);
        let until = tag + own_us * UNITS_PER_US / self.weights[class];
        let others = (0..classes.len()).filter(|other| *other != class);
        let served = others.map(|other| {
            let tag_gap = until.saturating_sub(self.tags[other]);
            let served_us = tag_gap * self.weights[other] / UNITS_PER_US;
            served_us.min(classes[other].queued_busy_us())
        });
        own_us + served.sum::<u64>()
    }
}
