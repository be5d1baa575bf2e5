"""A server process that begins answers which end with their connection."""

import asyncio
import sys

from lagoonflow.http1.messages import BodyFraming
from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer

# More than the kernel takes for a caller that reads nothing.
LARGE_BODY = b'x' * 8_000_000
PART = b'id: 1\n\n'


async def answer(request, reply) -> None:
    """Send what the path of the request names."""
    match request.head.target:
        case b'/stream':
            await reply.start(200, b'OK', (), BodyFraming.UNTIL_CLOSE)
            await reply.send_part(PART)
            await asyncio.sleep(60)
        case b'/chunks':
            await reply.start(200, b'OK', ())
            await reply.send_part(PART)
            await asyncio.sleep(60)
        case b'/large':
            await send_whole(reply, LARGE_BODY)
        case b'/whole':
            await send_whole(reply, PART)


async def send_whole(reply, body) -> None:
    """Send an answer without a length."""
    await reply.send_whole(200, b'OK', (), body, BodyFraming.UNTIL_CLOSE)


async def refuse(reply, status, _reason) -> None:
    """Refuse a request that can't be read."""
    await reply.send_whole(status, b'Refused', (), b'')


async def main(address: str) -> None:
    """Serve until the process is killed."""
    server = HttpServer(answer, refuse, ServerLimits)
    await server.listen(address)
    print('listening', server._server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
