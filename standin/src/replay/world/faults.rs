//! Faults: crashes, herds and lost zones.

use super::*;

impl World {
    pub(super) fn crash(&mut self, engine: usize) {
        let waiting = self.engines[engine].crash();
        self.event_seqs[engine] = 0;
        for holders in self.holders.values_mut() {
            holders.remove(&engine);
        }
        for job in waiting {
            self.after(APART, Event::Broken(Box::new(job)));
        }
    }

    pub(super) fn restart_daemons(&mut self, daemons: impl Iterator<Item = usize>) {
        for index in daemons {
            self.incarnations[index] += 1;
            let zones = self.setup.kind.zones();
            self.nodes[index] = new_node(index, self.incarnations[index], zones);
            self.memories[index] = Memory::new(ENGINES);
            self.read_platform(index);
            let lost: Vec<usize> = self
                .open
                .iter()
                .filter(|(_, (daemon, _))| *daemon == index)
                .map(|(request, _)| *request)
                .collect();
            for request in lost {
                self.open.remove(&request);
                self.arrive_again(request);
            }
        }
    }

    pub(super) fn zone_gone(&mut self) {
        let zones = self.setup.kind.zones();
        let daemons: Vec<usize> = (0..DAEMONS).filter(|index| index % zones == 0).collect();
        for index in &daemons {
            self.daemon_up[*index] = false;
        }
        let gone: Vec<usize> =
            (0..ENGINES).filter(|index| self.engines[*index].zone == 0).collect();
        for engine in gone {
            self.crash(engine);
            self.engine_zone_down.insert(engine);
        }
        self.restart_daemons(daemons.into_iter());
    }

    pub(super) fn zone_back(&mut self) {
        for index in 0..DAEMONS {
            self.daemon_up[index] = true;
            self.read_platform(index);
        }
        for engine in std::mem::take(&mut self.engine_zone_down) {
            self.engines[engine].up = true;
        }
    }
}
