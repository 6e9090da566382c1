//! Injected faults, and the state from which hosts restart.

use std::time::Duration;

use cuminramp_core::{Name, RandomSource};
use cuminramp_fleet::ItemProgress;

use super::{AttemptKind, FAULT_AT, World, new_host, new_owner, target_name};
use crate::plan::LoadPattern;
use crate::target::TargetHealth;

/// Time for which failing targets break every new connection.
const TARGET_FAILURE_TIME: Duration = Duration::from_secs(6);
/// Time for which hosts are without power in a mass loss.
const MASS_LOSS_TIME: Duration = Duration::from_secs(2);
/// Time from the start at which the power dip begins, at the beginning of a peak.
const DIP_AT: Duration = Duration::from_millis(9_700);
/// Time for which hosts are without power in a power dip.
const DIP_TIME: Duration = Duration::from_millis(500);

impl World {
    /// Starts and ends the faults of the plan that fall into this step.
    pub(super) fn inject_faults(&mut self) {
        let (pattern, targets) = (self.plan.pattern, self.plan.targets);
        match pattern {
            LoadPattern::LostTargets if self.is_at(FAULT_AT) => {
                (0..targets / 3).for_each(|target| self.lose_target(target));
            }
            LoadPattern::FailingTargets if self.is_at(FAULT_AT) => {
                let failing = &mut self.targets[..targets.div_ceil(10)];
                failing.iter_mut().for_each(|target| target.health = TargetHealth::Failing);
            }
            LoadPattern::FailingTargets if self.is_at(FAULT_AT + TARGET_FAILURE_TIME) => {
                self.targets.iter_mut().for_each(|target| target.health = TargetHealth::Healthy);
            }
            LoadPattern::MassLoss if self.is_at(FAULT_AT) => self.stop_hosts(),
            LoadPattern::MassLoss if self.is_at(FAULT_AT + MASS_LOSS_TIME) => self.start_hosts(),
            LoadPattern::PowerDip if self.is_at(DIP_AT) => self.stop_hosts(),
            LoadPattern::PowerDip if self.is_at(DIP_AT + DIP_TIME) => self.start_hosts(),
            _ => {}
        }
    }

    fn lose_target(&mut self, target: usize) {
        self.targets[target].health = TargetHealth::Lost;
        for run in self.targets[target].take_all() {
            self.fail_attempt(run.attempt);
        }
        let name = target_name(target);
        self.hosts.iter_mut().for_each(|host| host.placement.remove(&name));
        self.owner.placement.remove(&name);
    }

    /// Cuts the power of all hosts. Targets continue with their orphaned work.
    fn stop_hosts(&mut self) {
        self.hosts_are_down = true;
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.is_wanted) {
            attempt.is_wanted = false;
            if matches!(attempt.kind, AttemptKind::Request { .. }) {
                self.report.failed += 1;
            }
        }
    }

    /// Restarts all hosts with empty tables, and adds each job at a random host with its completed items and
    /// the checkpoints of the others.
    fn start_hosts(&mut self) {
        self.hosts_are_down = false;
        let plan = self.plan;
        self.hosts = (0..plan.hosts).map(|index| new_host(index, 2, &plan)).collect();
        self.owner = new_owner(&plan);
        for job in std::mem::take(&mut self.jobs) {
            let finished: Vec<Name> = job
                .items
                .iter()
                .enumerate()
                .filter(|(index, _)| self.finished.contains(&(job.id.clone(), *index)))
                .map(|(_, item)| item.id.clone())
                .collect();
            let of_job = self.checkpoints.iter().filter(|(id, _, _)| *id == job.id);
            let progress: Vec<(Name, ItemProgress)> = of_job
                .map(|(_, index, progress)| (job.items[*index].id.clone(), progress.clone()))
                .collect();
            let host = self.random.below(plan.hosts);
            self.hosts[host].jobs.add(job.clone(), &finished, progress);
            self.jobs.push(job);
        }
    }
}
