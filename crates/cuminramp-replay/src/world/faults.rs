//! What fails, and what hosts find when they are back.

use std::time::Duration;

use cuminramp_core::{Name, RandomSource};
use cuminramp_fleet::ItemProgress;

use super::{FAULT_AT, Owner, World, new_host, new_owner, target_name};
use crate::plan::LoadPattern;
use crate::target::TargetHealth;

/// How long targets fail, and how long hosts are away.
const FAILING_FOR: Duration = Duration::from_secs(6);
const AWAY: Duration = Duration::from_secs(2);
/// When power fails as a crest begins, and for how long.
const DIP_AT: Duration = Duration::from_millis(9_700);
const DIP: Duration = Duration::from_millis(500);

impl World {
    pub(super) fn strike(&mut self) {
        let (pattern, targets) = (self.plan.pattern, self.plan.targets);
        match pattern {
            LoadPattern::LostTargets if self.is_at(FAULT_AT) => {
                (0..targets / 3).for_each(|target| self.lose_target(target));
            }
            LoadPattern::FailingTargets if self.is_at(FAULT_AT) => {
                let failing = &mut self.targets[..targets.div_ceil(10)];
                failing.iter_mut().for_each(|target| target.health = TargetHealth::Failing);
            }
            LoadPattern::FailingTargets if self.is_at(FAULT_AT + FAILING_FOR) => {
                self.targets.iter_mut().for_each(|target| target.health = TargetHealth::Sound);
            }
            LoadPattern::MassLoss if self.is_at(FAULT_AT) => self.lose_hosts(),
            LoadPattern::MassLoss if self.is_at(FAULT_AT + AWAY) => self.start_hosts(),
            LoadPattern::PowerDip if self.is_at(DIP_AT) => self.lose_hosts(),
            LoadPattern::PowerDip if self.is_at(DIP_AT + DIP) => self.start_hosts(),
            _ => {}
        }
    }

    fn lose_target(&mut self, target: usize) {
        self.targets[target].health = TargetHealth::Lost;
        for run in self.targets[target].lose_all() {
            self.break_work(run.work);
        }
        let name = target_name(target);
        self.hosts.iter_mut().for_each(|host| host.placement.remove(&name));
        self.owner.placement.remove(&name);
    }

    /// Power goes: targets go on with work that nobody waits for.
    fn lose_hosts(&mut self) {
        self.is_away = true;
        for work in self.works.iter_mut().filter(|work| work.is_wanted) {
            work.is_wanted = false;
            if matches!(work.owner, Owner::Caller { .. }) {
                self.report.failed += 1;
            }
        }
    }

    fn start_hosts(&mut self) {
        self.is_away = false;
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
            let of_job = self.saved.iter().filter(|(id, _, _)| *id == job.id);
            let known: Vec<(Name, ItemProgress)> = of_job
                .map(|(_, index, progress)| (job.items[*index].id.clone(), progress.clone()))
                .collect();
            let host = self.random.below(plan.hosts);
            self.hosts[host].jobs.add(job.clone(), &finished, known);
            self.jobs.push(job);
        }
    }
}
