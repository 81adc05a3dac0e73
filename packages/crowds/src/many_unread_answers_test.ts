import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { requestsAhead } from "./hostile_bytes.ts";

const CLIENTS = 140;
const SHAPES = {
  "long answers": { answer: Buffer.alloc(20_000_000, "x"), ahead: 1 },
  "short answers to requests sent ahead": {
    answer: Buffer.alloc(250_000, "x"),
    ahead: 8,
  },
};

// Also green while each connection was bounded alone: it guards the process.
for (const [what, { answer, ahead }] of Object.entries(SHAPES)) {
  test(`${what} that very many don't read stay within the memory`, async (t) => {
    await checkCrowd(t, {
      clients: CLIENTS,
      pieces: () => [requestsAhead(ahead, { target: "/look/" })],
      gateway: {
        answer: (req, res) => {
          const isOrdinary = req.headers["request-id"]?.includes("ordinary");
          res.end(isOrdinary ? "ok" : answer);
        },
      },
    });
  });
}
