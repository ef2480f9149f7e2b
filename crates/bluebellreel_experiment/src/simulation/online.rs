//! Online requests of a simulation.

use super::SimEvent;
use super::{Followed, Simulation, entry, worker_index};
use crate::load::Arrival;
use bluebellreel_admission as admission;
use bluebellreel_routing::{self as routing, NewRequest};
use bluebellreel_types::{AttemptId, Moment, RequestId, TraceContext};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
        let arrival = self.arrivals[index].clone();
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.prompts.insert(id, arrival.prompt_tokens);
        let followed = Followed {
            arrival: index,
            arrived_at: self.now,
            first_token_at: None,
            last_at: None,
            longest_gap: Duration::ZERO,
            stream_broke: false,
        };
        self.followed.insert(id, followed);
        self.route(routing::Event::Arrived(NewRequest {
            id,
            work: arrival.work,
            deadline: self.now + self.scenario.deadline,
            trace: TraceContext {
                trace: 1,
                parent: 1,
            },
        }));
    }

    /// Whether the attempt's request crashes its engine.
    pub(super) fn crashes_engine(&self, attempt: AttemptId) -> bool {
        let every = self.scenario.crash_every as usize;
        let followed = self.followed.get(&attempt.request);
        every > 0 && followed.is_some_and(|f| f.arrival % every == every - 1)
    }

    pub(super) fn route(&mut self, event: routing::Event) {
        let effects = routing::step(&mut self.router, event, self.now, &mut self.rng);
        for effect in effects {
            self.apply_routing_effect(effect);
        }
    }

    pub(super) fn apply_routing_effect(&mut self, effect: routing::Effect) {
        match effect {
            routing::Effect::Dispatch { worker, dispatch } => {
                if dispatch.attempt.number == 1 {
                    self.outcome.online.first_attempts += 1;
                } else {
                    self.outcome.online.retries += 1;
                    if let Some(followed) = self.followed.get_mut(&dispatch.attempt.request) {
                        followed.stream_broke = followed.first_token_at.is_some();
                    }
                }
                let entry = entry();
                let event = admission::Event::Arrived { entry, dispatch };
                self.admit(worker_index(&worker), event);
            }
            routing::Effect::Cancel { worker, attempt } => {
                let event = admission::Event::CancelAsked { attempt };
                self.admit(worker_index(&worker), event);
            }
            routing::Effect::Deliver { request, .. } => self.deliver(request),
            routing::Effect::Finish {
                request, outcome, ..
            } => self.finish_request(request, &outcome),
            routing::Effect::Claim(_) | routing::Effect::RecordOutcome { .. } => {}
        }
    }

    pub(super) fn deliver(&mut self, request: RequestId) {
        let now = self.now;
        let Some(followed) = self.followed.get_mut(&request) else {
            return;
        };
        self.online_tokens += 1;
        if let Some(last) = followed.last_at.replace(now) {
            let gap = now.since(last);
            followed.longest_gap = followed.longest_gap.max(gap);
            self.inter_token.record(gap);
        } else {
            followed.first_token_at = Some(now);
            let waited = now.since(followed.arrived_at);
            self.first_token.record(waited);
            self.recent.record(waited);
        }
    }

    pub(super) fn finish_request(&mut self, request: RequestId, outcome: &routing::Outcome) {
        let Some(followed) = self.followed.remove(&request) else {
            return;
        };
        self.prompts.remove(&request);
        let online = &mut self.outcome.online;
        match outcome {
            routing::Outcome::Completed { .. } => {
                online.completed += 1;
                let waited = followed
                    .first_token_at
                    .unwrap_or(self.now)
                    .since(followed.arrived_at);
                if waited <= self.scenario.first_token {
                    online.in_time += 1;
                }
                if followed.stream_broke {
                    self.broken_gap.record(followed.longest_gap);
                }
            }
            routing::Outcome::NotRun { retry_at, .. } => {
                online.refused += 1;
                self.resend(followed.arrival, *retry_at);
            }
            _ => online.failed += 1,
        }
    }

    /// A refused caller sends its request again, as a client library does.
    pub(super) fn resend(&mut self, index: usize, retry_at: Moment) {
        let arrival = &self.arrivals[index];
        if arrival.tries >= self.scenario.client_retries {
            return;
        }
        let again = Arrival {
            tries: arrival.tries + 1,
            ..arrival.clone()
        };
        // The client waits for its own pause if that is shorter than the server's retry
        // time.
        let pause = self.scenario.client_pause.min(retry_at.since(self.now));
        self.arrivals.push(again);
        let index = self.arrivals.len() - 1;
        self.schedule(self.now + pause, SimEvent::Arrive(index));
    }
}
