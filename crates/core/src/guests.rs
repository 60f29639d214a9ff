//! Clients' connections and what they hand in.

use linestack_recovery::Fate;

use super::*;

impl Core {
    pub(crate) fn client_up(&mut self, client: Client) {
        let (since, newcomer) = (self.now, Some(self.now));
        let guest = Guest {
            submission: None,
            phase: Phase::Idle,
            since,
            newcomer,
            put_out: false,
            limit: Limit::NONE,
        };
        self.clients.insert(client, guest);
        self.client_phase(client, Phase::Idle);
        if self.clients.len() > self.most_clients * 3 / 4 {
            self.make_room(client);
        }
    }

    /// Before no room is left one goes: first a newcomer that has asked for nothing yet, and only then what a
    /// client that asked before keeps for its next request. A flood of connections puts out its own. Each is told
    /// and then waited for, lest what crosses resets it; when room is short for that too, or nobody else can go,
    /// the one that was told first is waited for no longer.
    pub(crate) fn make_room(&mut self, but: Client) {
        let others =
            || self.clients.iter().filter(|(c, g)| **c != but && g.submission.is_none() && !g.put_out);
        let ranked = others().filter_map(|(c, g)| {
            let rank = match (g.phase, g.newcomer) {
                (Phase::Leaving | Phase::Answering, _) | (Phase::Reading, None) => return None,
                (_, Some(_)) => 1,
                (Phase::Idle, None) => 2,
            };
            Some((rank, g.newcomer.unwrap_or(g.since), *c))
        });
        let told = ranked.min().map(|(.., client)| client);
        let short = told.is_none() || self.clients.len() > self.most_clients * 7 / 8;
        let left = others().filter(|(_, g)| short && g.phase == Phase::Leaving).map(|(c, g)| (g.since, *c));
        let left = left.min().map(|(_, client)| client);
        for client in told.into_iter().chain(left) {
            let Some(guest) = self.clients.get_mut(&client) else { continue };
            guest.put_out = true;
            self.stats.put_out += u64::from(guest.phase != Phase::Leaving);
            self.effects.push(match guest.phase {
                // What has come in meanwhile is looked at first.
                Phase::Idle => Effect::CloseClient { client },
                _ => Effect::DropClient { client },
            });
        }
    }

    /// Lets one go that rests while the node stops: a newcomer once the request that it came for should be here.
    pub(crate) fn send_off(&mut self, client: Client) {
        let Some(guest) = self.clients.get(&client) else { return };
        let until = match (guest.phase, guest.newcomer) {
            (Phase::Leaving, _) => guest.limit.until.min(self.now + STAY),
            (_, Some(since)) => since + STAY,
            (_, None) => self.now,
        };
        if until > self.now {
            self.limit_client(client, until);
        } else {
            self.effects.push(Effect::CloseClient { client });
        }
    }

    pub(crate) fn client_phase(&mut self, client: Client, phase: Phase) {
        let Some(guest) = self.clients.get_mut(&client) else { return };
        if phase == Phase::Reading && guest.phase == Phase::Reading {
            // A byte now and then buys no time.
            return;
        }
        (guest.phase, guest.since) = (phase, self.now);
        guest.put_out &= phase != Phase::Leaving;
        let until = match (phase, guest.newcomer) {
            (Phase::Idle | Phase::Reading, Some(since)) => since + HANDING_IN,
            (Phase::Idle, None) => self.now + CLIENT_IDLE,
            (Phase::Reading | Phase::Leaving, _) => self.now + HANDING_IN,
            (Phase::Answering, _) => self.now + CLIENT_PATIENCE,
        };
        self.limit_client(client, until);
        if self.refusing && matches!(phase, Phase::Idle | Phase::Leaving) {
            self.send_off(client);
        }
    }

    pub(crate) fn client_gone(&mut self, client: Client) {
        let Some(guest) = self.clients.remove(&client) else { return };
        if let Some(submission) = guest.submission {
            self.stats.left += 1;
            self.release(submission);
            if let Some(taken) = self.taken.get_mut(submission as usize).and_then(Option::as_mut) {
                taken.client_left = true;
            }
            self.pending.push_back(Event::Left { submission });
        }
    }

    pub(crate) fn submitted(&mut self, client: Client, intake: Intake) {
        let settled = self.settled(&intake);
        let too_early = if settled.is_none() {
            self.refused_before_first_list().or_else(|| self.too_many_yet())
        } else {
            None
        };
        let Some(guest) = self.clients.get_mut(&client) else { return };
        must!(self, guest.submission.is_none(), "two submissions at once on a connection");
        // Checked here and by the time that this input came with, lest a node that was asleep takes what it may
        // not before anybody has told it.
        if self.now >= self.leave {
            self.stats.fenced += 1;
            guest.newcomer = None;
            self.client_phase(client, Phase::Answering);
            let answer = Answer::Dismissed(self.come_back.map(|most| most / 8));
            let (last, version) = (self.refusing, self.version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(answer) = settled {
            self.stats.remembered += 1;
            guest.newcomer = None;
            self.client_phase(client, Phase::Answering);
            let (last, version) = (self.refusing, self.version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(come_back) = too_early {
            guest.newcomer = None;
            self.client_phase(client, Phase::Answering);
            let (last, version, answer) = (self.refusing, self.version, Answer::Dismissed(come_back));
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        // It would be a second copy of what its holder has out, and an executor that is asked twice for one
        // id looks as if it failed.
        if !self.ids.insert(intake.shipment.id.clone()) {
            self.stats.turned_down += 1;
            self.client_phase(client, Phase::Answering);
            return self.effects.push(Effect::Answer {
                client,
                answer: Answer::Repeated,
                last: true,
                version: self.version,
            });
        }
        let submission = self.free.pop().unwrap_or(self.taken.len() as Submission);
        if submission as usize == self.taken.len() {
            self.taken.push(None);
        }
        (guest.submission, guest.phase, guest.newcomer) = (Some(submission), Phase::Reading, None);
        guest.limit.until = Nanos::MAX;
        self.stats.taken += 1;
        let cut_off = (self.now + intake.patience.min(self.longest_wait)).min(self.last_call);
        let Intake { product, tenant, slots, memory, shipment, .. } = intake;
        self.hold_key(product, &shipment, true);
        let (number, client, executions) = (self.stats.taken, Some(client), Vec::new());
        self.taken[submission as usize] = Some(Taken {
            number,
            client,
            client_left: false,
            version: self.version,
            kept: false,
            product,
            cut_off,
            shipment,
            executions,
        });
        self.arm(cut_off, Timer::CutOff(submission, number));
        let job = Job { product, tenant, cut_off, slots, memory };
        self.pending.push_back(Event::Submitted { submission, job });
    }

    /// The client is no longer owed an answer.
    pub(crate) fn release(&mut self, submission: Submission) -> Option<Client> {
        let client = self.taken.get_mut(submission as usize)?.as_mut()?.client.take();
        if let Some(guest) = client.and_then(|c| self.clients.get_mut(&c)) {
            guest.submission = None;
        }
        client
    }

    pub(crate) fn answer(&mut self, submission: Submission, answer: Answer) {
        let version = self.taken.get(submission as usize).and_then(Option::as_ref).map_or(0, |t| t.version);
        let Some(client) = self.release(submission) else {
            must!(self, false, "a second final answer");
            return;
        };
        match answer {
            Answer::Satisfied(_) => self.stats.satisfied += 1,
            Answer::Dismissed(_) => self.stats.dismissed += 1,
            Answer::Aborted => self.stats.aborted += 1,
            Answer::Repeated => {}
        }
        if matches!(answer, Answer::Dismissed(_)) {
            self.fated(submission, Fate::Unsent);
        }
        self.client_phase(client, Phase::Answering);
        self.effects.push(Effect::Answer { client, answer, last: self.refusing, version });
    }
}
