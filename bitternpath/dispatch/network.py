"""Random neural network that learns from payoffs which worker serves a job class best.

Source: Wang, Brun, Gelenbe, "Online Work Distribution to Clouds" (MASCOTS 2016), section II. Both dispatchers
use it: `dispatch.selection` of the queue service and `balancer.dispatch.dispatcher`.
"""

from typing import Generic, Protocol, TypeVar

GAIN = 0.15  # what a payoff equal to the threshold adds, as a share of a neuron's mean excitatory weight
ALPHA = 0.95  # the paper's smoothing factor: the weight of the old threshold T when a payoff updates it
PAYOFF_CAP = 4.0  # a payoff counts for at most this multiple of T, a loss for at most as much
CONVERGED = 1e-3  # the iteration of q ends when no neuron's q changes by more
MAX_ITERATIONS = 30  # over all neurons, if q doesn't converge sooner
MAX_TOTAL_WEIGHT = 1e9  # above this sum the weights are scaled down to a sum of 1, to keep their precision


class Neuron(Protocol):
    """The attributes of a worker that a network uses."""

    name: str  # unique in its network
    kind: str  # a new worker starts with the mean weights of its kind


NeuronT = TypeVar("NeuronT", bound=Neuron)


class Network(Generic[NeuronT]):
    """Network of one job class in factored form; q[i] is the probability that neurons[i] is excited, eq. (1).

    An update adds the same weight from every neuron j, so w+(j,i) = plus[i] + plus_all and w-(j,i) = minus[i]
    + minus_all: a network takes O(n) memory instead of O(n^2). Weights are scaled on reading so that the mean
    firing rate is 1. Otherwise they would only grow, and each update would have less effect.
    """

    def __init__(self) -> None:
        """Create an empty network. `index` maps a neuron's name to its position in the lists."""
        self.neurons: list[NeuronT] = []
        self.index: dict[str, int] = {}
        self.plus: list[float] = []  # excitatory weights w+ towards each neuron, without `plus_all`
        self.minus: list[float] = []  # inhibitory weights w- towards each neuron, without `minus_all`
        self.q: list[float] = []  # excitation probabilities
        self.plus_all = 0.0
        self.minus_all = 0.0
        self.total = 0.0  # of all weights
        self.sum_q = 0.0
        self.threshold = 0.0  # T, the moving mean of the payoffs; 0 before the first
        self.updates_since_solve = 0  # of one neuron's q each; after more than n / 2 all are solved again

    def join(self, neuron: NeuronT) -> None:
        """Add a neuron with the mean weights of its kind, or of all."""
        n = len(self.neurons)
        similar = [k for k, other in enumerate(self.neurons) if other.kind == neuron.kind] or list(range(n))
        for row in (self.plus, self.minus, self.q):
            row.append(sum(row[k] for k in similar) / len(similar) if similar else 0.5)
        self.neurons.append(neuron)
        self.index[neuron.name] = n
        self.updates_since_solve = n
        self.total += self.plus[n] + self.plus_all + self.minus[n] + self.minus_all
        self.sum_q += self.q[n]

    def leave(self, neuron: NeuronT) -> None:
        """Remove a neuron; the weights of the others stay."""
        position = self.index[neuron.name]
        self.total -= self.plus[position] + self.plus_all + self.minus[position] + self.minus_all
        del self.neurons[position], self.plus[position], self.minus[position], self.q[position]
        self.index = {other.name: k for k, other in enumerate(self.neurons)}
        self.solve_q()

    def learn(self, neuron: NeuronT, payoff: float, *, completed: bool = True) -> None:
        """Update T by equation (4), and the weights by the two rules after it; `payoff` is R = 1/G.

        `completed` is False for a job that has not ended or has failed: T is not updated.
        """
        if completed:
            self.threshold = ALPHA * self.threshold + (1 - ALPHA) * payoff if self.threshold else payoff
        position = self.index.get(neuron.name)
        n = len(self.neurons)
        threshold = self.threshold
        if position is None or n < 2 or payoff == threshold or not threshold:
            return
        # In units of T: a payoff above T counts R/T, one below it T/R, so that a worse result lowers more.
        strength = min(max(payoff / threshold, threshold / max(payoff, threshold / PAYOFF_CAP)), PAYOFF_CAP)
        step = GAIN * strength * self.total / (2 * n)
        share = step / max(n - 2, 1)
        if payoff > threshold:
            raised, lowered = self.plus, self.minus
            self.minus_all += share
        else:
            raised, lowered = self.minus, self.plus
            self.plus_all += share
        raised[position] += step
        lowered[position] -= share
        self.total += step + share * (n - 1)
        self.update_q(position)
        self.updates_since_solve += 1
        if 2 * self.updates_since_solve > n:
            self.solve_q()

    def update_q(self, position: int) -> float:
        """Apply equations (2) and (3) once to one neuron; returns by how much its q changed."""
        n = len(self.q)
        unit = n / ((n - 1) * self.total)
        plus = self.plus[position] + self.plus_all
        minus = self.minus[position] + self.minus_all
        old = self.q[position]
        rest = self.sum_q - old
        new = min((0.25 + unit * plus * rest) / (unit * (self.total - plus - minus + minus * rest)), 1.0)
        self.q[position] = new
        self.sum_q = rest + new
        return abs(new - old)

    def solve_q(self) -> None:
        """Iterate equation (2) until it converges, after scaling down weights that have grown too large."""
        self.updates_since_solve = 0
        n = len(self.q)
        if self.total > MAX_TOTAL_WEIGHT:
            self.plus = [(weight + self.plus_all) / self.total for weight in self.plus]
            self.minus = [(weight + self.minus_all) / self.total for weight in self.minus]
            self.plus_all = 0.0
            self.minus_all = 0.0
            self.total = sum(self.plus) + sum(self.minus)
        self.sum_q = sum(self.q)
        for _ in range(MAX_ITERATIONS if n > 1 else 0):
            if max([self.update_q(k) for k in range(n)]) < CONVERGED:
                break
