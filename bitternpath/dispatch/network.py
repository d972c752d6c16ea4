"""Random neural network that learns from payoffs which worker serves a job class best.

Source: Wang, Brun, Gelenbe, "Online Work Distribution to Clouds" (MASCOTS 2016), section II."""

from typing import Generic, Protocol, TypeVar

GAIN = 0.15  # what a payoff equal to the threshold adds, as a share of a neuron's mean excitatory weight
KEEP = 0.95  # the paper's alpha: how much of the threshold T one payoff leaves
PAYOFF_CAP = 4.0  # no payoff counts for more than this multiple of T, nor a failure for more than its mirror
SETTLED = 1e-3  # q is settled when no neuron moves by more


class Neuron(Protocol):
    """What a network needs to know of a worker: its name (unique) and its kind of machine."""

    name: str
    kind: str


NeuronT = TypeVar("NeuronT", bound=Neuron)


class Network(Generic[NeuronT]):
    """Network of one job class, factored: q[i] is the excitation probability of neurons[i], equation (1).

    An update adds the same for all j, so w+(j,i) = plus[i] + plus_all and w-(j,i) = minus[i] + minus_all.
    They are read in a unit that keeps the mean firing rate at 1: else weights only grow and learning ends."""

    def __init__(self) -> None:
        self.neurons: list[NeuronT] = []
        self.place: dict[str, int] = {}
        self.plus, self.minus, self.q = list[float](), list[float](), list[float]()
        self.plus_all = self.minus_all = self.total = self.sum_q = self.threshold = 0.0
        self.unsettled = 0

    def join(self, neuron: NeuronT) -> None:
        """Add a neuron with the mean weights of its kind, or of all."""
        n = len(self.neurons)
        kin = [k for k, other in enumerate(self.neurons) if other.kind == neuron.kind] or list(range(n))
        for row in (self.plus, self.minus, self.q):
            row.append(sum(row[k] for k in kin) / len(kin) if kin else 0.5)
        self.neurons.append(neuron)
        self.place[neuron.name] = self.unsettled = n
        self.total += self.plus[n] + self.plus_all + self.minus[n] + self.minus_all
        self.sum_q += self.q[n]

    def leave(self, neuron: NeuronT) -> None:
        """Remove a neuron; what was learned of the rest stays."""
        at = self.place[neuron.name]
        self.total -= self.plus[at] + self.plus_all + self.minus[at] + self.minus_all
        del self.neurons[at], self.plus[at], self.minus[at], self.q[at]
        self.place = {other.name: k for k, other in enumerate(self.neurons)}
        self.settle_all()

    def learn(self, neuron: NeuronT, payoff: float, completed: bool = True) -> None:
        """Update T by equation (4) and the weights by the two rules after it; `payoff` is R = 1/G.

        `completed` is False for a job that has not ended or has failed: it leaves T as it is."""
        if completed:
            self.threshold = KEEP * self.threshold + (1 - KEEP) * payoff if self.threshold else payoff
        at, n, limit = self.place.get(neuron.name), len(self.neurons), self.threshold
        if at is None or n < 2 or payoff == limit or not limit:
            return
        # In units of T. A worse result must punish more: a loss counts for T/R, the mirror of a win's R/T.
        size = min(max(payoff / limit, limit / max(payoff, limit / PAYOFF_CAP)), PAYOFF_CAP)
        step = GAIN * size * self.total / (2 * n)
        share = step / max(n - 2, 1)
        if payoff > limit:
            raised, cut, self.minus_all = self.plus, self.minus, self.minus_all + share
        else:
            raised, cut, self.plus_all = self.minus, self.plus, self.plus_all + share
        raised[at] += step
        cut[at] -= share
        self.total += step + share * (n - 1)
        self.settle(at)
        self.unsettled += 1
        if 2 * self.unsettled > n:
            self.settle_all()

    def settle(self, at: int) -> float:
        """Apply equations (2) and (3) once to one neuron; returns how far its q moved."""
        n = len(self.q)
        unit = n / ((n - 1) * self.total)
        plus, minus, old = self.plus[at] + self.plus_all, self.minus[at] + self.minus_all, self.q[at]
        rest = self.sum_q - old
        new = min((0.25 + unit * plus * rest) / (unit * (self.total - plus - minus + minus * rest)), 1.0)
        self.q[at], self.sum_q = new, rest + new
        return abs(new - old)

    def settle_all(self) -> None:
        """Iterate equation (2) until it settles; also keep the raw weights in a range floats hold well."""
        self.unsettled, n = 0, len(self.q)
        if self.total > 1e9:
            self.plus = [(weight + self.plus_all) / self.total for weight in self.plus]
            self.minus = [(weight + self.minus_all) / self.total for weight in self.minus]
            self.plus_all = self.minus_all = 0.0
            self.total = sum(self.plus) + sum(self.minus)
        self.sum_q = sum(self.q)
        for _ in range(30 if n > 1 else 0):
            if max([self.settle(k) for k in range(n)]) < SETTLED:
                break
