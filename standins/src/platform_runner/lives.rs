//! The lives of a runner: how one ends and another follows.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::platform_runner::LifeTraits;
use crate::platform_runner::PlatformRunner;
use crate::platform_runner::unix_millis;

/// Time after which a runner is back that a task has crashed.
const BACK_AFTER: Duration = Duration::from_millis(400);
/// Pause before the address of the life before is tried again, as long as it is taken.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// Listens at an address that the life before has just left.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

impl PlatformRunner {
    /// Ends this life; after a pause another one begins. Where something else has ended it, what follows is waited for.
    pub async fn restart(&self, pause: Duration) -> PlatformRunner {
        match self.break_off() {
            true => self.begin_next(pause).await,
            false => self.follow().await,
        }
    }

    /// Begins the life that follows this one after a pause: under its id and at its address, or with an id of its own where lives do not
    /// tell when they started. It ends at once if the runner was ended for good meanwhile.
    async fn begin_next(&self, pause: Duration) -> PlatformRunner {
        tokio::time::sleep(pause).await;
        let (registry, journal) = (self.registry, self.journal.clone());
        let next = match self.start_time {
            Some(before) => {
                let listener = listen_again(self.address).await;
                // Two lives do not start in the same millisecond.
                let start_time = Some(unix_millis().max(before + 1));
                let (instance, traits) = (&self.instance, self.traits);
                PlatformRunner::serve(listener, instance, registry, journal, traits, start_time)
            }
            None => {
                let instance = format!("{}+", self.instance);
                let traits = LifeTraits { speed: 1.0, ..self.traits };
                PlatformRunner::spawn_on(traits, &instance, registry, journal).await
            }
        };
        let mut life = self.lock();
        if life.is_closed {
            next.break_off();
        }
        life.successor = Some(next.clone());
        next
    }

    /// Waits for the life that follows this one, which is over; none does where the runner was ended for good.
    async fn follow(&self) -> PlatformRunner {
        loop {
            let (next, is_closed) = {
                let life = self.lock();
                (life.successor.clone(), life.is_closed)
            };
            match next {
                Some(next) => return next.newest(),
                None if is_closed => return self.clone(),
                None => tokio::time::sleep(BIND_PAUSE).await,
            }
        }
    }

    /// Ends this life and what follows it: nothing runs any more, and nobody answers for it.
    pub fn crash(&self) {
        let successor = {
            let mut life = self.lock();
            life.is_closed = true;
            life.successor.take()
        };
        if let Some(successor) = successor {
            successor.crash();
        }
        self.break_off();
    }

    /// Ends this life; another one begins after a while, unless something else has ended it.
    pub(super) async fn crash_and_return(&self) {
        if self.break_off() {
            Box::pin(self.begin_next(BACK_AFTER)).await;
        }
    }

    /// Says whether it was not over before.
    pub(super) fn break_off(&self) -> bool {
        let (was_over, running) = {
            let mut life = self.lock();
            (std::mem::replace(&mut life.is_over, true), std::mem::take(&mut life.running))
        };
        for (task, run) in running.into_keys() {
            self.journal.end(&task, run, &self.label(), "crashed");
        }
        if self.start_time.is_some() {
            self.closing.notify_one();
        }
        !was_over
    }

    /// The newest life under the id: it carries out calls that were held up.
    pub fn newest(&self) -> PlatformRunner {
        let successor = self.lock().successor.clone().filter(|_| self.start_time.is_some());
        successor.map_or_else(|| self.clone(), |next| next.newest())
    }

    /// The life that is there now, under whatever id, after those that have ended by crashes.
    pub fn present(&self) -> PlatformRunner {
        let successor = self.lock().successor.clone();
        successor.map_or_else(|| self.clone(), |next| next.present())
    }
}
