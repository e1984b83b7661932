//! The figures of one or several runs.

use hdrhistogram::Histogram;

use crate::admission::CLASSES;
use crate::admission::load::Request;

/// The width of a bucket of [`Outcome::timeline`], in microseconds.
const BUCKET_US: u64 = 100_000;

/// The longest wait that is distinguished, in microseconds: the longest time limit.
const MAX_WAIT_US: u64 = 4_000_000;

/// The minimum number of an organisation's requests of a class for a figure of its own.
const MIN_REQUESTS: u64 = 50;

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    /// It was answered within its time limit.
    Served {
        /// From the first arrival to the start at the target, in microseconds.
        waited_us: u64,
        /// From the first arrival to the answer, in microseconds.
        response_us: u64,
    },
    /// The last attempt was refused.
    Refused,
    /// The answer was lost or came after the time limit.
    Unanswered,
}

/// A number of requests, and how many of them ended well.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Tally {
    /// All requests.
    pub offered: u64,
    /// Those served, or served within the objective.
    pub served: u64,
}

impl Tally {
    /// Returns the served part of all requests; 1 if there are none.
    pub fn share(self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.served as f64 / self.offered as f64 }
    }

    fn add(&mut self, other: Tally) {
        self.offered += other.offered;
        self.served += other.served;
    }
}

/// The figures of a class.
#[derive(Clone, PartialEq, Debug)]
pub struct ClassOutcome {
    /// The number of requests.
    pub offered: u64,
    /// The number of those served within the objective.
    pub in_time: u64,
    /// The number of those served after the objective.
    pub late: u64,
    /// The number of those whose last attempt was refused.
    pub refused: u64,
    /// The number of those without an answer within the time limit.
    pub unanswered: u64,
    /// The number of all refusals, including those that were followed by another attempt.
    pub refusals: u64,
    /// The waits of served requests from the first arrival to the start at the target, in microseconds.
    pub waits_us: Histogram<u64>,
    /// The served requests of each organisation.
    organisations: Vec<Tally>,
}

impl ClassOutcome {
    /// Returns a count as a part of all requests.
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.offered.max(1) as f64
    }

    /// Returns the number of refusals for each request that was not served; `None` if all were served.
    pub fn refusals_per_unserved(&self) -> Option<f64> {
        let unserved = self.refused + self.unanswered;
        (unserved > 0).then(|| self.refusals as f64 / unserved as f64)
    }

    /// Returns the served part of the requests of the organisation for which it is lowest; `None` if all have
    /// too few requests for a figure.
    pub fn least_served(&self) -> Option<f64> {
        let large = self.organisations.iter().filter(|tally| tally.offered >= MIN_REQUESTS);
        large.map(|tally| tally.share()).min_by(f64::total_cmp)
    }
}

/// The figures of all classes.
#[derive(Clone, PartialEq, Debug)]
pub struct Outcome {
    /// The figures by class.
    pub classes: [ClassOutcome; CLASSES.len()],
    /// The highest number of statements at the target at once: those it runs and those in its queue.
    pub highest_running: usize,
    /// The number of statements that the target rejected because its queue was full.
    pub rejected: u64,
    /// Requests by the time of their arrival, and those served within the objective.
    timeline: Vec<Tally>,
}

impl Outcome {
    /// Creates the figures before any request.
    pub fn new(organisations: usize) -> Outcome {
        let class = ClassOutcome {
            offered: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            unanswered: 0,
            refusals: 0,
            waits_us: Histogram::new_with_max(MAX_WAIT_US, 3).expect("3 digits are supported"),
            organisations: vec![Tally::default(); organisations.max(1)],
        };
        let classes = CLASSES.map(|_| class.clone());
        Outcome { classes, highest_running: 0, rejected: 0, timeline: Vec::new() }
    }

    /// Records the end of a request.
    pub fn record(&mut self, request: &Request, end: End) {
        let class = &mut self.classes[request.class];
        let organisation = &mut class.organisations[request.organisation];
        let bucket = (request.arrived_us / BUCKET_US) as usize;
        if bucket >= self.timeline.len() {
            self.timeline.resize(bucket + 1, Tally::default());
        }
        class.offered += 1;
        organisation.offered += 1;
        self.timeline[bucket].offered += 1;
        match end {
            End::Served { waited_us, response_us } => {
                class.waits_us.saturating_record(waited_us);
                organisation.served += 1;
                let is_in_time = response_us <= CLASSES[request.class].objective_us;
                class.in_time += u64::from(is_in_time);
                class.late += u64::from(!is_in_time);
                self.timeline[bucket].served += u64::from(is_in_time);
            }
            End::Refused => class.refused += 1,
            End::Unanswered => class.unanswered += 1,
        }
    }

    /// Adds the figures of another run with as many organisations.
    pub fn add(&mut self, other: &Outcome) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            class.offered += other.offered;
            class.in_time += other.in_time;
            class.late += other.late;
            class.refused += other.refused;
            class.unanswered += other.unanswered;
            class.refusals += other.refusals;
            class.waits_us.add(&other.waits_us).expect("both have the same bounds");
            for (tally, other) in class.organisations.iter_mut().zip(&other.organisations) {
                tally.add(*other);
            }
        }
        self.highest_running = self.highest_running.max(other.highest_running);
        self.rejected += other.rejected;
        let buckets = self.timeline.len().max(other.timeline.len());
        self.timeline.resize(buckets, Tally::default());
        for (tally, other) in self.timeline.iter_mut().zip(&other.timeline) {
            tally.add(*other);
        }
    }

    /// Returns the requests that arrived in a time span and those of them served within the objective. Both
    /// ends are in microseconds, rounded down to a tenth of a second.
    pub fn arrived_between(&self, from_us: u64, until_us: u64) -> Tally {
        let buckets = (from_us / BUCKET_US) as usize..(until_us / BUCKET_US) as usize;
        let mut total = Tally::default();
        self.timeline.get(buckets).into_iter().flatten().for_each(|tally| total.add(*tally));
        total
    }
}
