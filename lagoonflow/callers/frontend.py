"""The ASGI application that serves callers."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lagoonflow.callers.context import FrontendContext, new_request_id
from lagoonflow.callers.errors import error_response
from lagoonflow.callers.generations import GenerationsEndpoint
from lagoonflow.callers.plain import PlainEndpoint
from lagoonflow.results import Refusal, Result
from lagoonflow.telemetry.logs import get_logger

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
METHOD_NOT_ALLOWED = 405
INTERNAL_ERROR = 500
INTERNAL_FAILURE = Refusal(
    Result.INTERNAL,
    'The router failed on this request.',
    not_run=False,
)
WRONG_METHOD = Refusal(
    Result.METHOD_NOT_ALLOWED,
    'This route does not allow this method.',
)


def build_frontend(context: FrontendContext) -> Starlette:
    """Build the application, which routes each path to its endpoint."""
    generations = GenerationsEndpoint(context)
    plain = PlainEndpoint(context)
    return Starlette(
        routes=[
            Route('/v1/chat/completions', generations.chat, methods=['POST']),
            Route('/v1/completions', generations.complete, methods=['POST']),
            Route('/v1/models', generations.list_models, methods=['GET']),
            Route('/{path:path}', plain.forward, methods=list(METHODS)),
        ],
        exception_handlers={
            METHOD_NOT_ALLOWED: _handle_wrong_method,
            INTERNAL_ERROR: _handle_exception,
        },
    )


async def _handle_wrong_method(
    _request: Request, _error: Exception
) -> Response:
    return error_response(WRONG_METHOD, new_request_id())


async def _handle_exception(_request: Request, error: Exception) -> Response:
    request_id = new_request_id()
    get_logger('callers').error(
        'Request failed.',
        request_id=request_id,
        error=repr(error),
    )
    return error_response(INTERNAL_FAILURE, request_id)
