//! Orders to a target that bring it to the bundle in force.
//!
//! They are part of the dispatcher, since only the holder of a target may give
//! them, and apart from batch work, with which they share nothing but the
//! target's report.

use std::sync::Arc;
use std::time::Instant;

use notchwharf_clients::target::Action;
use notchwharf_clients::target::ModelVersion;
use notchwharf_clients::target::Order;
use notchwharf_membership::fact;
use notchwharf_placement::plan;
use notchwharf_placement::reconcile;
use notchwharf_placement::reconcile::Step;
use notchwharf_placement::reconcile::TargetState;

use super::Dispatcher;
use crate::bundle::held_of;
use crate::metrics::Counted;

impl Dispatcher {
    /// Gives the next order that brings the target to the bundle in force.
    pub(super) fn reconcile(&self) {
        let Some(status) = &self.status else {
            return;
        };
        let Some(active) = self.shared.active() else {
            return;
        };
        if Instant::now() < self.orders_from || status.leaving {
            return;
        }
        let mut wanted: Vec<ModelVersion> = Vec::new();
        {
            let view = self.shared.view();
            let mut engines: Vec<&str> = view.engines().iter().map(|l| l.name.as_str()).collect();
            engines.sort_unstable();
            let plan = plan::plan(&active.bundle.servings, &engines);
            let mine = plan.get(self.target.as_str()).into_iter().flatten();
            wanted.extend(mine.map(|s| held_of(s)));
        }
        let names = |all: &[ModelVersion]| {
            all.iter()
                .map(ModelVersion::fingerprint)
                .collect::<Vec<_>>()
        };
        let seen = TargetState {
            loaded: names(&status.holds),
            loading: names(&status.loading),
        };
        let others = |fingerprint: &str| self.others_holding(fingerprint);
        let step = reconcile::next_step(&names(&wanted), &seen, others, |f| active.is_in_force(f));
        let action = match step {
            None => return,
            Some(Step::Load(f)) => {
                let found = wanted.into_iter().find(|h| h.fingerprint() == f);
                found.map(Action::Load)
            }
            Some(Step::Unload(f)) => {
                let found = status.holds.iter().find(|h| h.fingerprint() == f);
                found.cloned().map(Action::Unload)
            }
        };
        if let Some(action) = action {
            self.order(action);
        }
    }

    fn others_holding(&self, fingerprint: &str) -> usize {
        let view = self.shared.view();
        let holds = |(id, t): &(&String, &fact::Target)| {
            **id != self.target
                && !t.leaving
                && t.answers
                && t.holds.iter().any(|h| h == fingerprint)
        };
        view.targets.iter().filter(holds).count()
    }

    fn order(&self, action: Action) {
        let Some(url) = self.shared.target_url(&self.target) else {
            return;
        };
        let order = Order {
            fence: self.epoch,
            action,
        };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let res = shared.targets.order(&url, &order).await;
            let outcome = if res.is_ok() {
                "taken"
            } else {
                "refused or lost"
            };
            shared.metrics.count(Counted::Orders, outcome);
        });
    }
}
