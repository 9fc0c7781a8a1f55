//! What came of a run, gathered from the processes that took part.

use super::cluster::Cluster;
use super::documents::{CAPACITY, CEILING, DRAIN_GRACE_MS, OVERLOAD};
use super::looks::{parts, rates, settled};
use super::report::{Look, Report};
use crate::checks::{Asked, Broken, Figures, Ran, Span};
use crate::gateway::Gateway;
use crate::load::Answer;
use crate::network::gateway_of;
use std::time::Instant;

impl Cluster {
    pub(super) fn report(mut self, answers: Vec<Answer>, looks: Vec<Look>, quiet: f64) -> Report {
        let ended = self.now();
        for at in 0..self.gateways.len() {
            if let Some(gateway) = &self.gateways[at] {
                self.cpu[at] += gateway.cpu();
            }
        }
        let still: Vec<usize> = self.since.keys().copied().collect();
        for at in still {
            let from = self.since[&at];
            self.log.spans.push(Span { gateway: at, region: None, from, to: ended + 60_000.0 });
        }
        self.heal();
        let began = self.began;
        let ms = |at: Instant| at.saturating_duration_since(began).as_secs_f64() * 1_000.0;
        for answer in answers {
            self.log.asked.push(Asked {
                once: answer.shape == 1 || answer.shape == 4,
                gateway: answer.gateway,
                franchisee: answer.franchisee,
                sent: ms(answer.sent),
                done: ms(answer.done),
                status: answer.status,
                more: answer.more,
                id: answer.id,
            });
        }
        let closings = self.network.closings.lock().expect("closings").clone();
        for (region, stand_in) in self.regions.iter().enumerate() {
            for run in stand_in.runs() {
                let closed = run.from.and_then(|from| closings.get(&from)).filter(|at| **at >= run.began);
                let ended = [run.ended, closed.copied()].into_iter().flatten().min();
                self.log.ran.push(Ran {
                    region,
                    gateway: run.from.and_then(|from| gateway_of(from.ip())),
                    began: ms(run.began),
                    ended: ended.map(ms),
                    id: run.id,
                });
            }
        }
        let figures = Figures {
            drain_grace_ms: DRAIN_GRACE_MS,
            ceiling_of: 300..320,
            ceiling: CEILING,
            capacity: CAPACITY,
            overload: OVERLOAD,
        };
        let mut broken = self.log.check(&figures);
        let living: Vec<usize> = (0..self.gateways.len()).filter(|at| self.gateways[*at].is_some()).collect();
        let settled_ms = settled(&looks, &living, quiet);
        let most_parts = parts(&looks, &self.log.spans);
        if most_parts > 1.0 + 1e-6 {
            let what = format!("parts added up to {most_parts:.4}");
            broken.push(Broken { rule: "parts".into(), at: 0.0, what });
        }
        let asked = &self.log.asked;
        let count =
            |wanted: fn(Option<u16>) -> bool| asked.iter().filter(|asked| wanted(asked.status)).count();
        let mut by_second = vec![(0, 0); (self.line.length_ms / 1_000 + 1) as usize];
        for asked in asked {
            if let Some(second) = by_second.get_mut((asked.sent / 1_000.0) as usize) {
                if asked.status == Some(200) {
                    second.0 += 1
                } else {
                    second.1 += 1
                }
            }
        }
        Report {
            broken,
            requests: asked.len(),
            served: count(|status| status == Some(200)),
            refused: count(|status| matches!(status, Some(429 | 503))),
            failed: count(|status| status.is_some_and(|status| !matches!(status, 200 | 429 | 503))),
            unanswered: count(|status| status.is_none()),
            settled_ms,
            most_parts,
            sent_per_s: rates(&looks),
            cpu_s: self.cpu.clone(),
            memory_mb: self.gateways.iter().flatten().map(Gateway::memory_mb).collect(),
            looks,
            by_second,
            done: std::mem::take(&mut self.done),
            timeline: self.line.clone(),
        }
    }
}
