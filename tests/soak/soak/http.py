"""HTTP/1.1 as the stand-ins of the soak need it: one call a connection, and a small server."""
import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MOST_HEAD_BYTES = 64 * 1024
READ_BYTES = 64 * 1024


@dataclass
class Request:
    """A request that a server has read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """What came back of a call. `status` 0: no head came. `complete`: it came to its own end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


@dataclass(frozen=True)
class Call:
    """A call to `host`:`port`; `lose_after` s after it was sent the caller closes, unread."""

    host: str
    port: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    timeout: float = 3.0
    lose_after: float | None = None


def head_text(first: str, headers: dict[str, str]) -> bytes:
    """The bytes of a head, with its empty line."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def parse_head(raw: bytes) -> tuple[str, dict[str, str]]:
    """First line and headers, names in lower case."""
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Reads a chunked body; sets `complete` at its last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            answer.complete = True
            return
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_length(reader: asyncio.StreamReader, length: int, answer: Answer) -> None:
    """Reads a body of known length, keeping what came before a break."""
    while len(answer.body) < length:
        piece = await reader.read(min(READ_BYTES, length - len(answer.body)))
        if not piece:
            return
        answer.body += piece
    answer.complete = True


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Reads one final answer into `answer`, which holds what came if it breaks."""
    first, answer.headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, answer)
    elif "content-length" in answer.headers:
        await read_length(reader, int(answer.headers["content-length"]), answer)
    else:
        answer.body = await reader.read(-1)
        answer.complete = True


async def exchange(call: Call, answer: Answer) -> None:
    """Connects, sends, and reads unless the answer is to be lost."""
    reader, writer = await asyncio.open_connection(call.host, call.port, limit=MOST_HEAD_BYTES)
    try:
        headers = {**call.headers, "Content-Length": str(len(call.body))}
        writer.write(head_text(f"{call.method} {call.target} HTTP/1.1", headers) + call.body)
        await writer.drain()
        if call.lose_after is None:
            await read_answer(reader, answer)
        else:
            await asyncio.sleep(call.lose_after)
    finally:
        writer.transport.abort()


async def perform(call: Call) -> Answer:
    """Makes the call; a failure shows as an answer that is not complete."""
    answer = Answer()
    try:
        await asyncio.wait_for(exchange(call, answer), call.timeout)
    except (OSError, EOFError, ValueError, IndexError, asyncio.LimitOverrunError,
            asyncio.TimeoutError):
        pass
    return answer


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def read_request(reader: asyncio.StreamReader) -> Request:
    """The next request of a connection. Raises EOFError at its end."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, target, _ = first.split(" ")
    body = Answer()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, body)
    else:
        await read_length(reader, int(headers.get("content-length", "0")), body)
    return Request(method, target, headers, body.body)


class Server:
    """Listens at one address; `handler` writes each answer and tells whether to go on."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Raises OSError where the address is taken."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MOST_HEAD_BYTES)

    def stop(self) -> None:
        """Stops listening and resets what is open."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._handler(await read_request(reader), writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass  # Of what is cancelled nothing is left to be done.
        finally:
            self._writers.discard(writer)
            writer.close()


async def answer_with(writer: asyncio.StreamWriter, status: int, body: bytes,
                      headers: dict[str, str] | None = None) -> None:
    """Writes one whole answer."""
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    writer.write(head_text(f"HTTP/1.1 {status} Any", fields) + body)
    await writer.drain()
