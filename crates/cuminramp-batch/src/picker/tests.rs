use super::{JobPicker, OpenJob};

fn job(id: &str, team: &str, weight: u32) -> OpenJob {
    OpenJob { id: id.into(), team: team.into(), weight }
}

fn pick_first(picker: &mut JobPicker, jobs: &[OpenJob], picks: usize) -> Vec<String> {
    let mut order = Vec::new();
    for _ in 0..picks {
        let first = picker.order(jobs)[0].clone();
        picker.record_claimed(&first, 10);
        order.push(first.id.to_string());
    }
    order
}

#[test]
fn teams_are_served_by_weight_and_jobs_round_robin() {
    let jobs = [job("a1", "a", 3), job("a2", "a", 3), job("b", "b", 1)];
    let mut picker = JobPicker::new();

    let order = pick_first(&mut picker, &jobs, 80);

    let count = |id: &str| order.iter().filter(|picked| *picked == id).count();
    assert_eq!((count("a1"), count("a2"), count("b")), (30, 30, 20));
}

// Guards against a new team's job starving the others. A large job has run for hours when another
// team submits a small one; if the new team's count started at 0, the large job would stop until the
// small one had caught up.
#[test]
fn a_team_that_starts_later_gets_its_share_but_no_backlog() {
    let mut picker = JobPicker::new();
    pick_first(&mut picker, &[job("large", "a", 1)], 1_000);

    let both = [job("large", "a", 1), job("small", "b", 1)];
    let order = pick_first(&mut picker, &both, 20);

    assert_eq!(order.iter().filter(|id| *id == "small").count(), 10);
}
